#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/serving/CoordinationMessages.h"

namespace boragerack::decisions {

/// The nodes that reported to the coordinator a short time ago.
class MembershipTracker
{
public:
    /// A node that has not reported for this long is taken as gone.
    static constexpr std::chrono::milliseconds kMemberTimeout {1500};
    /// A node looks at the lease each 0.2 s, in a large fleet each 0.8 s, and its first report to a
    /// new coordinator may be delayed by up to 1.8 s there.
    static constexpr std::chrono::milliseconds kSeedTimeout {700};
    static constexpr std::chrono::milliseconds kLargeFleetSeedTimeout {2500};
    /// A node that has gone without a word may run on for this long.
    static constexpr std::chrono::milliseconds kMissing {15000};

    void report(const FleetMember &member, bool isStopping, core::TimePoint now);
    /// Nodes that have gone since the last call.
    std::vector<core::InstanceId> expire(core::TimePoint now);

    /// Nodes that the coordinator's predecessor knew; they are dropped unless they report
    /// within `kSeedTimeout`, or `kLargeFleetSeedTimeout` if the fleet is large, which takes it
    /// longer.
    void seed(const std::vector<FleetMember> &members, core::TimePoint now);
    /// Part of the known nodes that are live. Nodes that have gone without a word may be cut off
    /// and run on, so they count for some time.
    double liveShare(core::TimePoint now) const;

    /// Nodes that callers may use; stopping nodes are left out.
    std::vector<FleetMember> members() const;
    std::size_t size() const { return entries_.size(); }
    /// Grows with each change of `members()`; never zero.
    std::uint64_t version() const { return version_; }

private:
    struct Entry
    {
        FleetMember member;
        bool isStopping = false;
        core::TimePoint reportedAt = {};
    };

    std::map<core::InstanceId, Entry> entries_;
    /// When nodes went without a word.
    std::map<core::InstanceId, core::TimePoint> missing_;
    std::uint64_t version_ = 1;
};

} // namespace boragerack::decisions
