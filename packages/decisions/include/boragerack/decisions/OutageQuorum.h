#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Identifier.h"
#include "boragerack/decisions/FleetMessages.h"
#include "boragerack/decisions/FleetSafeguards.h"

namespace boragerack::decisions {

/// On a relay, counts the members that cannot read the platform. In a large fleet the relay queries
/// one aggregator for each group of about sqrt(n) members, which queries the other members of the
/// group, so that no node receives a message from every member.
class OutageQuorum
{
public:
    /// All members in ring order, and the suspected ones. Suspected members count towards the
    /// total; otherwise a partitioned minority would be a majority of the members it can reach.
    struct RingChanged
    {
        std::vector<core::InstanceId> ring;
        std::set<core::InstanceId> suspected;
    };
    struct ProbeRequestReceived
    {
        core::InstanceId from;
        ProbeRequest request;
    };
    struct ReportReceived
    {
        core::InstanceId from;
        ProbeReport report;
    };
    struct Tick
    {
        bool isRelay = false;
        /// Start of this node's last probe if it failed and is recent enough to count.
        std::optional<core::TimePoint> failedProbeAt;
        bool mayVote = false;
        std::uint64_t version = 0;
    };
    using Event = std::variant<RingChanged, ProbeRequestReceived, ReportReceived, Tick>;

    struct SendProbeRequest
    {
        core::InstanceId to;
        ProbeRequest request;
    };
    struct SendReport
    {
        core::InstanceId to;
        ProbeReport report;
    };
    /// The probes of more than half of the members failed, all started at `provenAt` or later.
    /// `version` is the highest version reported in a valid vote.
    struct ConfirmOutage
    {
        core::TimePoint provenAt;
        std::uint64_t version = 0;
    };
    using Action = std::variant<SendProbeRequest, SendReport, ConfirmOutage>;

    explicit OutageQuorum(core::InstanceId self, FleetSafeguards safeguards = {});

    std::vector<Action> handle(const Event &event, core::TimePoint now);

private:
    struct Vote
    {
        /// Earliest possible start of the failed probe.
        core::TimePoint startedAt;
        std::uint64_t version = 0;
    };
    struct PendingRequest
    {
        std::uint64_t sequence = 0;
        core::TimePoint sentAt;
    };

    void on(const RingChanged &event);
    void on(const ProbeRequestReceived &event);
    void on(const ReportReceived &event);
    void on(const Tick &event);
    void requestVotes(const core::InstanceId &member);
    void requestGroupVotes();
    /// Sends the votes of the members at the ring positions from `first` up to, but not including,
    /// `last`.
    void report(const core::InstanceId &to, std::uint64_t sequence, std::size_t first,
                std::size_t last);
    void countVotes();
    std::size_t groupSize() const;
    std::optional<core::InstanceId> aggregatorOf(std::size_t group) const;

    core::InstanceId self_;
    FleetSafeguards safeguards_;
    core::TimePoint now_;
    std::vector<Action> actions_;
    std::vector<core::InstanceId> ring_;
    std::set<core::InstanceId> suspected_;
    std::size_t position_ = 0;
    std::map<core::InstanceId, PendingRequest> sentRequests_;
    /// Requests of relays for the votes of this node's group that have no report yet.
    std::map<core::InstanceId, PendingRequest> pendingReports_;
    std::map<core::InstanceId, Vote> votes_;
    std::uint64_t sequence_ = 0;
    std::optional<core::TimePoint> groupsRequestedAt_;
    std::optional<core::TimePoint> membersRequestedAt_;
    std::optional<core::TimePoint> confirmedProvenAt_;
};

} // namespace boragerack::decisions
