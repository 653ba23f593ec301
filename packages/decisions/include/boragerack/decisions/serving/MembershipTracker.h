#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/serving/CoordinationMessages.h"

namespace boragerack::decisions {

/// Tracks the nodes that reported to the coordinator recently.
class MembershipTracker
{
public:
    /// A node that has not reported for this long is removed.
    static constexpr std::chrono::milliseconds kMemberTimeout {1500};
    /// Time within which seeded nodes must report. A node polls the lease every 0.2 s; in a large
    /// fleet every 0.8 s, and its first report to a new coordinator may be delayed by up to 1.8 s.
    static constexpr std::chrono::milliseconds kSeedTimeout {700};
    static constexpr std::chrono::milliseconds kLargeFleetSeedTimeout {2500};
    /// A node that disappeared without announcing its stop may continue to run for this long.
    static constexpr std::chrono::milliseconds kMissingNodePeriod {15000};

    void report(const FleetMember &member, bool isStopping, core::TimePoint now);
    /// Removes nodes that timed out since the last call, and returns them.
    std::vector<core::InstanceId> expire(core::TimePoint now);

    /// Adds the nodes known to the coordinator's predecessor. They expire unless they report within
    /// `kSeedTimeout`, or `kLargeFleetSeedTimeout` in a large fleet.
    void seed(const std::vector<FleetMember> &members, core::TimePoint now);
    /// Fraction of the known nodes that are live. Nodes that disappeared without announcing their
    /// stop may be partitioned and still running, so they count as known for `kMissingNodePeriod`.
    double liveShare(core::TimePoint now) const;

    /// Nodes that callers may use, without stopping nodes.
    std::vector<FleetMember> members() const;
    std::size_t size() const { return entries_.size(); }
    /// Increases with each change of `members()`; never zero.
    std::uint64_t version() const { return version_; }

private:
    struct Entry
    {
        FleetMember member;
        bool isStopping = false;
        core::TimePoint reportedAt = {};
    };

    std::map<core::InstanceId, Entry> entries_;
    /// Nodes that disappeared without announcing their stop, and when they were removed.
    std::map<core::InstanceId, core::TimePoint> missing_;
    std::uint64_t version_ = 1;
};

} // namespace boragerack::decisions
