#include "LogRateLimiter.h"

#include <algorithm>
#include <utility>

namespace boragerack::runtime {

LogRateLimiter::LogRateLimiter(double linesPerSecond, double burst)
    : linesPerSecond_(linesPerSecond)
    , burst_(burst)
    , tokens_(burst)
{
}

bool LogRateLimiter::take(core::TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - refilledAt_).count();
    tokens_ = std::min(burst_, tokens_ + linesPerSecond_ * std::max(0.0, seconds));
    refilledAt_ = now;
    if (tokens_ < 1) {
        ++dropped_;
        return false;
    }
    tokens_ -= 1;
    return true;
}

std::uint64_t LogRateLimiter::takeDropped(core::TimePoint now)
{
    constexpr std::chrono::seconds kReportInterval(1);
    if (dropped_ == 0 || now - reportedAt_ < kReportInterval)
        return 0;
    reportedAt_ = now;
    return std::exchange(dropped_, 0);
}

} // namespace boragerack::runtime
