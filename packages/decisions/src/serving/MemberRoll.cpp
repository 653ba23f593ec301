#include "boragerack/decisions/serving/MemberRoll.h"

namespace boragerack::decisions {

void MemberRoll::report(const FleetMember &member, bool isStopping, core::TimePoint now)
{
    Entry &entry = entries_[member.instance];
    if (entry.member != member || entry.isStopping != isStopping)
        ++version_;
    entry = {member, isStopping, now};
}

std::vector<core::InstanceId> MemberRoll::expire(core::TimePoint now)
{
    std::vector<core::InstanceId> gone;
    for (const auto &[instance, entry] : entries_) {
        if (now - entry.reportedAt >= kSilence)
            gone.push_back(instance);
    }
    for (const core::InstanceId &instance : gone)
        entries_.erase(instance);
    if (!gone.empty())
        ++version_;
    return gone;
}

std::vector<FleetMember> MemberRoll::members() const
{
    std::vector<FleetMember> members;
    for (const auto &[instance, entry] : entries_) {
        if (!entry.isStopping)
            members.push_back(entry.member);
    }
    return members;
}

} // namespace boragerack::decisions
