#include "boragerack/decisions/TargetClosures.h"

#include <algorithm>

namespace boragerack::decisions {

bool TargetClosures::record(const TargetProcess &process, const TargetAdvice &advice,
                            core::TimePoint now)
{
    if (!advice.isLeaving && advice.pause.count() <= 0)
        return false;
    const bool wasClosed = isClosed(process, now);
    Closure &closure = closures_[process];
    closure.isLeaving = closure.isLeaving || advice.isLeaving;
    closure.pausedUntil = std::max(closure.pausedUntil, now + advice.pause);
    return !wasClosed;
}

bool TargetClosures::isClosed(const TargetProcess &process, core::TimePoint now) const
{
    return opensAt(process, now) != now;
}

std::optional<core::TimePoint> TargetClosures::opensAt(const TargetProcess &process,
                                                       core::TimePoint now) const
{
    const auto position = closures_.find(process);
    if (position == closures_.end())
        return now;
    if (position->second.isLeaving)
        return std::nullopt;
    return std::max(now, position->second.pausedUntil);
}

} // namespace boragerack::decisions
