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

/// Counts on a relay how many members confirm that the platform cannot be read. In a large fleet
/// the relay asks one member of each group of about sqrt(n) members, which asks the others, so that
/// no node handles a message from every member.
class OutageQuorum
{
public:
    /// All members in ring order, and those that are suspected. Suspected members count in the
    /// total: otherwise a cut-off minority would become a majority of what it can reach.
    struct RingChanged
    {
        std::vector<core::InstanceId> ring;
        std::set<core::InstanceId> suspected;
    };
    struct ProbeRequestReceived
    {
        core::InstanceId from;
        ProbeRequest ask;
    };
    struct ReportReceived
    {
        core::InstanceId from;
        ProbeReport report;
    };
    struct Tick
    {
        bool isRelay = false;
        /// Start of this node's own last probe if it failed.
        std::optional<core::TimePoint> failedProbeAt;
        bool mayVote = false;
        std::uint64_t version = 0;
    };
    using Event = std::variant<RingChanged, ProbeRequestReceived, ReportReceived, Tick>;

    struct SendProbeRequest
    {
        core::InstanceId to;
        ProbeRequest ask;
    };
    struct SendReport
    {
        core::InstanceId to;
        ProbeReport report;
    };
    /// More than half of the members confirm an outage, all by probes from `provenAt` or later.
    /// The version is the highest that any of them has.
    struct ConfirmOutage
    {
        core::TimePoint provenAt;
        std::uint64_t version = 0;
    };
    using Action = std::variant<SendProbeRequest, SendReport, ConfirmOutage>;

    explicit OutageQuorum(core::InstanceId self, FleetSafeguards mechanisms = {});

    std::vector<Action> handle(const Event &event, core::TimePoint now);

private:
    struct Vote
    {
        /// Start of the failed probe at the latest possible age.
        core::TimePoint startedAt;
        std::uint64_t version = 0;
    };
    struct Ask
    {
        std::uint64_t sequence = 0;
        core::TimePoint sentAt;
    };

    void on(const RingChanged &event);
    void on(const ProbeRequestReceived &event);
    void on(const ReportReceived &event);
    void on(const Tick &event);
    void ask(const core::InstanceId &member);
    void askOwnGroup();
    /// Reports the votes of the members at these positions of the ring.
    void report(const core::InstanceId &to, std::uint64_t sequence, std::size_t first,
                std::size_t last);
    void count();
    std::size_t groupSize() const;
    std::optional<core::InstanceId> aggregatorOf(std::size_t group) const;

    core::InstanceId self_;
    FleetSafeguards mechanisms_;
    core::TimePoint now_;
    std::vector<Action> actions_;
    std::vector<core::InstanceId> ring_;
    std::set<core::InstanceId> suspected_;
    std::size_t position_ = 0;
    std::map<core::InstanceId, Ask> asks_;
    /// Relays that wait for the votes of this node's group.
    std::map<core::InstanceId, Ask> unreported_;
    std::map<core::InstanceId, Vote> votes_;
    std::uint64_t sequence_ = 0;
    std::optional<core::TimePoint> askedGroups_;
    std::optional<core::TimePoint> askedMembers_;
    std::optional<core::TimePoint> confirmed_;
};

} // namespace boragerack::decisions
