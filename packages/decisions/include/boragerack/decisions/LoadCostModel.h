#pragma once

#include <array>
#include <cstdint>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/EngineReport.h"

namespace boragerack::decisions {

/// Expected load times, learnt from finished loads separately for each place of the checkpoint.
class LoadCostModel
{
public:
    core::Duration estimate(CheckpointTier place, std::uint64_t memoryMiB) const;
    void observe(CheckpointTier place, std::uint64_t memoryMiB, core::Duration duration);

private:
    /// Microseconds per MiB; the start values are 10, 2 and 0.5 GiB/s.
    std::array<double, 3> microsPerMiB_ = {98, 488, 1953};
};

} // namespace boragerack::decisions
