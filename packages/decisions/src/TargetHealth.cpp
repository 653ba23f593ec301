#include "boragerack/decisions/TargetHealth.h"

namespace boragerack::decisions {

void TargetHealth::handle(const Event &event, core::TimePoint now)
{
    if (const auto *removed = std::get_if<health::Removed>(&event)) {
        entries_.erase(removed->target);
    } else if (const auto *listed = std::get_if<health::Listed>(&event)) {
        if (listed->isLeaving)
            entries_[listed->target].isLeaving = true;
    } else if (const auto *reported = std::get_if<health::Reported>(&event)) {
        Entry &entry = entries_[reported->target];
        entry.isLeaving = entry.isLeaving || reported->isLeaving;
        entry.unreachableUntil = now;
    } else if (const auto *unreachable = std::get_if<health::Unreachable>(&event)) {
        entries_[unreachable->target].unreachableUntil = now + kUnreachableRetryDelay;
    }
}

bool TargetHealth::isLeaving(const core::TargetId &target) const
{
    const auto position = entries_.find(target);
    return position != entries_.end() && position->second.isLeaving;
}

bool TargetHealth::isUnreachable(const core::TargetId &target, core::TimePoint now) const
{
    const auto position = entries_.find(target);
    return position != entries_.end() && now < position->second.unreachableUntil;
}

} // namespace boragerack::decisions
