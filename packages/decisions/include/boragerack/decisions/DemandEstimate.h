#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

#include "boragerack/core/Clock.h"

namespace boragerack::decisions {

/// Exponentially decayed rate of requested tokens, in tokens per second. The time constant of one
/// second lets portion sizes follow demand that moves between nodes.
class DemandEstimate
{
public:
    void add(std::int64_t tokens, core::TimePoint now)
    {
        decay(now);
        sum_ += static_cast<double>(tokens);
    }

    std::int64_t tokensPerSecond(core::TimePoint now) const
    {
        return static_cast<std::int64_t>(sum_ * decayFactor(now));
    }

private:
    double decayFactor(core::TimePoint now) const
    {
        const std::chrono::duration<double> elapsed = now - updatedAt_;
        return std::exp(-std::max(0.0, elapsed.count()));
    }

    void decay(core::TimePoint now)
    {
        sum_ *= decayFactor(now);
        updatedAt_ = std::max(updatedAt_, now);
    }

    double sum_ = 0;
    core::TimePoint updatedAt_;
};

} // namespace boragerack::decisions
