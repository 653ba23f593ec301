#include "LogRateLimiter.h"

#include <algorithm>
#include <utility>

namespace boragerack::runtime {

LogRateLimiter::LogRateLimiter(double linesPerSecond, double burst)
    : linesPerSecond_(linesPerSecond)
    , burst_(burst)
    , level_(burst)
{
}

bool LogRateLimiter::take(core::TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - accruedAt_).count();
    level_ = std::min(burst_, level_ + linesPerSecond_ * std::max(0.0, seconds));
    accruedAt_ = now;
    if (level_ < 1) {
        ++dropped_;
        return false;
    }
    level_ -= 1;
    return true;
}

std::uint64_t LogRateLimiter::takeDropped(core::TimePoint now)
{
    constexpr std::chrono::seconds kInterval(1);
    if (dropped_ == 0 || now - reportedAt_ < kInterval)
        return 0;
    reportedAt_ = now;
    return std::exchange(dropped_, 0);
}

} // namespace boragerack::runtime
