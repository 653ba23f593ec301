#include "boragerack/decisions/LoadCostModel.h"

#include <algorithm>

namespace boragerack::decisions {

namespace {

// Smoothing factor of the moving average. The estimate follows a slower weight store within a few
// loads.
constexpr double kSmoothingFactor = 0.25;

} // namespace

core::Duration LoadCostModel::estimate(CheckpointTier tier, std::uint64_t memoryMiB) const
{
    const double microseconds =
        microsecondsPerMiB_.at(static_cast<std::size_t>(tier)) * static_cast<double>(memoryMiB);
    return std::chrono::microseconds(static_cast<std::int64_t>(microseconds));
}

void LoadCostModel::observe(CheckpointTier tier, std::uint64_t memoryMiB, core::Duration duration)
{
    if (memoryMiB == 0)
        return;
    double &average = microsecondsPerMiB_.at(static_cast<std::size_t>(tier));
    const std::chrono::duration<double, std::micro> elapsed = duration;
    average += kSmoothingFactor * (elapsed.count() / static_cast<double>(memoryMiB) - average);
}

} // namespace boragerack::decisions
