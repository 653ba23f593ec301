#pragma once

#include <map>
#include <optional>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/TargetAdvice.h"

namespace boragerack::decisions {

/// Targets whose responses asked this node to send no requests, for a time or at all. The
/// platform's list may show neither, or only later.
class TargetClosures
{
public:
    /// True if the target is leaving or paused now and was not before.
    bool record(const TargetProcess &process, const TargetAdvice &advice, core::TimePoint now);

    bool isClosed(const TargetProcess &process, core::TimePoint now) const;
    /// When the target accepts requests again: `now` if it does already, empty if it is leaving.
    std::optional<core::TimePoint> opensAt(const TargetProcess &process, core::TimePoint now) const;

    /// Forgets the targets for which the predicate is false.
    template<typename Predicate>
    void retain(Predicate isKept)
    {
        std::erase_if(closures_, [&](const auto &item) { return !isKept(item.first); });
    }

private:
    struct Closure
    {
        bool isLeaving = false;
        core::TimePoint pausedUntil = {};
    };

    std::map<TargetProcess, Closure> closures_;
};

} // namespace boragerack::decisions
