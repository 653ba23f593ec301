#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

#include "boragerack/core/Clock.h"

namespace boragerack::decisions {

/// Tokens asked for per second, averaged with a time constant of one second so that a portion
/// follows demand that moves between nodes.
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
        return static_cast<std::int64_t>(sum_ * factor(now));
    }

private:
    double factor(core::TimePoint now) const
    {
        const std::chrono::duration<double> elapsed = now - last_;
        return std::exp(-std::max(0.0, elapsed.count()));
    }

    void decay(core::TimePoint now)
    {
        sum_ *= factor(now);
        last_ = std::max(last_, now);
    }

    double sum_ = 0;
    core::TimePoint last_;
};

} // namespace boragerack::decisions
