#pragma once

#include <array>
#include <cstdint>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/EngineReport.h"

namespace boragerack::decisions {

/// Estimates load times from completed loads, separately for each checkpoint tier.
class LoadCostModel
{
public:
    /// Expected time to load `memoryMiB` from the tier.
    core::Duration estimate(CheckpointTier tier, std::uint64_t memoryMiB) const;
    /// Updates the estimate of the tier with a completed load. Ignored if `memoryMiB` is 0.
    void observe(CheckpointTier tier, std::uint64_t memoryMiB, core::Duration duration);

private:
    /// Microseconds per MiB, indexed by CheckpointTier; initially 10, 2 and 0.5 GiB/s.
    std::array<double, 3> microsecondsPerMiB_ = {98, 488, 1953};
};

} // namespace boragerack::decisions
