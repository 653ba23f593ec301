#include "boragerack/decisions/LoadCostModel.h"

#include <algorithm>

namespace boragerack::decisions {

namespace {

// Weight of a new observation; a slowed weight store shows within a few loads.
constexpr double kGain = 0.25;

} // namespace

core::Duration LoadCostModel::estimate(CheckpointTier place, std::uint64_t memoryMiB) const
{
    const double micros =
        microsPerMiB_.at(static_cast<std::size_t>(place)) * static_cast<double>(memoryMiB);
    return std::chrono::microseconds(static_cast<std::int64_t>(micros));
}

void LoadCostModel::observe(CheckpointTier place, std::uint64_t memoryMiB, core::Duration duration)
{
    if (memoryMiB == 0)
        return;
    double &micros = microsPerMiB_.at(static_cast<std::size_t>(place));
    const std::chrono::duration<double, std::micro> taken = duration;
    micros += kGain * (taken.count() / static_cast<double>(memoryMiB) - micros);
}

} // namespace boragerack::decisions
