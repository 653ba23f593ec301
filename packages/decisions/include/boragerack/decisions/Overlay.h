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

namespace boragerack::decisions {

/// Returns the members at distance 1, 2, 4, ... after `self` in the ring.
std::vector<core::InstanceId> fingerLinks(const std::vector<core::InstanceId> &ring,
                                          const core::InstanceId &self);

/// Decides which neighbours a node sends heartbeats to, and when. A heartbeat is sent every second,
/// and at once when the neighbour needs an update, which it then fetches. Only replies count as
/// freshness proofs: their age is measured from the time of the heartbeat, so network delay cannot
/// make a proof appear newer than it is.
class Overlay
{
public:
    struct RingChanged
    {
        std::vector<core::InstanceId> ring;
        std::vector<core::InstanceId> aliveRing;
    };
    /// The new report of this node; its freshness proof is from `provenAt`.
    struct ReportChanged
    {
        NodeReport report;
        std::optional<core::TimePoint> provenAt;
    };
    struct HeartbeatReceived
    {
        core::InstanceId from;
        Heartbeat heartbeat;
    };
    struct ReplyReceived
    {
        core::InstanceId from;
        HeartbeatReply reply;
    };
    /// The connection to the peer failed and could not be re-established.
    struct LinkBroken
    {
        core::InstanceId peer;
    };
    struct Tick
    {
    };
    using Event = std::variant<RingChanged, ReportChanged, HeartbeatReceived, ReplyReceived,
                               LinkBroken, Tick>;

    struct SendHeartbeat
    {
        core::InstanceId to;
        Heartbeat heartbeat;
    };
    struct SendReply
    {
        core::InstanceId to;
        HeartbeatReply reply;
    };
    struct PeerResponded
    {
        core::InstanceId peer;
        std::uint64_t incarnation = 0;
        std::uint32_t refutation = 0;
    };
    struct PeerUnresponsive
    {
        core::InstanceId peer;
    };
    struct PeerProofReceived
    {
        FreshnessProofKind kind = FreshnessProofKind::PlatformRead;
        std::uint64_t version = 0;
        core::TimePoint provenAt;
    };
    struct VersionSeen
    {
        core::InstanceId from;
        std::uint64_t version = 0;
    };
    /// Fetch the member records of the peer, because they differ from those of this node.
    struct PullMembers
    {
        core::InstanceId from;
    };
    using Action = std::variant<SendHeartbeat, SendReply, PeerResponded, PeerUnresponsive,
                                PeerProofReceived, VersionSeen, PullMembers>;

    explicit Overlay(core::InstanceId self);

    std::vector<Action> handle(const Event &event, core::TimePoint now);

    /// Neighbours to which membership events are sent.
    const std::vector<core::InstanceId> &pushNeighbours() const { return pushTargets_; }

private:
    struct Link
    {
        bool isNeighbour = false;
        core::TimePoint sentAt;
        /// Send times of heartbeats without a reply, by sequence number.
        std::map<std::uint64_t, core::TimePoint> unanswered;
        std::uint64_t knownVersion = 0;
        std::optional<core::TimePoint> knownProvenAt;
    };

    void on(const RingChanged &event);
    void on(const ReportChanged &event);
    void on(const HeartbeatReceived &event);
    void on(const ReplyReceived &event);
    void on(const LinkBroken &event);
    void on(const Tick &event);
    void send(const core::InstanceId &peer, Link &link);
    void processReport(const core::InstanceId &peer, const NodeReport &report);
    bool needsUpdate(const Link &link) const;
    NodeReport currentReport() const;

    core::InstanceId self_;
    core::TimePoint now_;
    std::vector<Action> actions_;
    std::map<core::InstanceId, Link> links_;
    std::vector<core::InstanceId> pushTargets_;
    NodeReport report_;
    std::optional<core::TimePoint> provenAt_;
    std::optional<core::TimePoint> pulledMembersAt_;
    std::uint64_t sequence_ = 0;
};

} // namespace boragerack::decisions
