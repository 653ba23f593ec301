#pragma once

#include <cstdint>

#include "boragerack/core/Clock.h"

namespace boragerack::runtime {

/// Token bucket for log lines.
class LogRateLimiter
{
public:
    LogRateLimiter(double linesPerSecond, double burst);

    /// Returns whether a line may be written; counts it as dropped if not.
    bool take(core::TimePoint now);
    /// Returns and resets the number of dropped lines; zero if none were dropped or the last report
    /// was less than a second ago.
    std::uint64_t takeDropped(core::TimePoint now);

private:
    double linesPerSecond_;
    double burst_;
    double tokens_;
    core::TimePoint refilledAt_ = {};
    core::TimePoint reportedAt_ = {};
    std::uint64_t dropped_ = 0;
};

} // namespace boragerack::runtime
