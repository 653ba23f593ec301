#include "boragerack/decisions/serving/MembershipTracker.h"

#include <algorithm>

#include "boragerack/decisions/serving/FleetSize.h"

namespace boragerack::decisions {

void MembershipTracker::report(const FleetMember &member, bool isStopping, core::TimePoint now)
{
    missing_.erase(member.instance);
    Entry &entry = entries_[member.instance];
    if (entry.member != member || entry.isStopping != isStopping)
        ++version_;
    entry = {member, isStopping, now};
}

std::vector<core::InstanceId> MembershipTracker::expire(core::TimePoint now)
{
    std::vector<core::InstanceId> expired;
    for (const auto &[instance, entry] : entries_) {
        if (now - entry.reportedAt >= kMemberTimeout)
            expired.push_back(instance);
    }
    for (const core::InstanceId &instance : expired) {
        if (!entries_.at(instance).isStopping)
            missing_[instance] = now;
        entries_.erase(instance);
    }
    std::erase_if(missing_,
                  [now](const auto &item) { return now - item.second >= kMissingNodePeriod; });
    if (!expired.empty())
        ++version_;
    return expired;
}

void MembershipTracker::seed(const std::vector<FleetMember> &members, core::TimePoint now)
{
    const auto timeout = isLargeFleet(members.size()) ? kLargeFleetSeedTimeout : kSeedTimeout;
    const core::TimePoint reportedAt = now + timeout - kMemberTimeout;
    for (const FleetMember &member : members)
        report(member, false, reportedAt);
}

double MembershipTracker::liveShare(core::TimePoint now) const
{
    const auto missing = static_cast<double>(std::ranges::count_if(
        missing_, [now](const auto &item) { return now - item.second < kMissingNodePeriod; }));
    const auto live = static_cast<double>(entries_.size());
    return live == 0 ? 1 : live / (live + missing);
}

std::vector<FleetMember> MembershipTracker::members() const
{
    std::vector<FleetMember> members;
    for (const auto &[instance, entry] : entries_) {
        if (!entry.isStopping)
            members.push_back(entry.member);
    }
    return members;
}

} // namespace boragerack::decisions
