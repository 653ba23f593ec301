#include "boragerack/core/Clock.h"

#include <ctime>

namespace boragerack::core {

TimePoint SuspendAwareClock::now() const
{
    timespec time = {};
    // Cannot fail: CLOCK_BOOTTIME is available since Linux 2.6.39.
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace boragerack::core
