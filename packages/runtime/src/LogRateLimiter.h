#pragma once

#include <cstdint>

#include "boragerack/core/Clock.h"

namespace boragerack::runtime {

/// Token bucket for log lines.
class LogRateLimiter
{
public:
    LogRateLimiter(double linesPerSecond, double burst);

    /// Whether a line may be written; one that may not is counted.
    bool take(core::TimePoint now);
    /// Lines dropped since the last call, at most once a second; zero if there were none.
    std::uint64_t takeDropped(core::TimePoint now);

private:
    double linesPerSecond_;
    double burst_;
    double level_;
    core::TimePoint accruedAt_ = {};
    core::TimePoint reportedAt_ = {};
    std::uint64_t dropped_ = 0;
};

} // namespace boragerack::runtime
