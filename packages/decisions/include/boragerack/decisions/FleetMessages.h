#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/ConfigurationDelta.h"

namespace boragerack::decisions {

enum class FreshnessProofKind {
    PlatformRead, ///< A relay read the accepted version from the platform.
    ConfirmedOutage, ///< More than half of the members failed to read the platform.
};

/// Proof that `version` was the accepted version `age` ago.
struct FreshnessProof
{
    FreshnessProofKind kind = FreshnessProofKind::PlatformRead;
    std::uint64_t version = 0;
    core::Duration age = {};

    friend auto operator<=>(const FreshnessProof &, const FreshnessProof &) = default;
};

/// State of a node that it reports in heartbeats and heartbeat replies.
struct NodeReport
{
    std::uint64_t incarnation = 0;
    std::uint32_t refutation = 0;
    std::uint64_t configurationVersion = 0;
    /// Hash over the member records; a node fetches the records of a peer whose hash differs.
    std::uint64_t memberHash = 0;
    std::optional<FreshnessProof> freshnessProof;

    friend auto operator<=>(const NodeReport &, const NodeReport &) = default;
};

struct Heartbeat
{
    std::uint64_t sequence = 0;
    NodeReport report;

    friend auto operator<=>(const Heartbeat &, const Heartbeat &) = default;
};

struct HeartbeatReply
{
    std::uint64_t sequence = 0;
    NodeReport report;

    friend auto operator<=>(const HeartbeatReply &, const HeartbeatReply &) = default;
};

/// The platform object `nodes/<instance>`. In a removed record, `version` is that of the removal.
struct MemberRecord
{
    core::InstanceId instance;
    std::string callerAddress;
    std::string peerAddress;
    core::DataCentreId dataCentre;
    core::RegionId region;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    bool isRemoved = false;

    friend auto operator<=>(const MemberRecord &, const MemberRecord &) = default;
};

enum class MemberEventKind { Record, Suspected, Refuted };

/// A membership change that is disseminated over the overlay. A node forwards an event only if it
/// changed the node's view, so that forwarding terminates.
struct MemberEvent
{
    MemberEventKind kind = MemberEventKind::Record;
    MemberRecord record;
    /// Incremented each time the member refutes a suspicion within one incarnation.
    std::uint32_t refutation = 0;

    friend auto operator<=>(const MemberEvent &, const MemberEvent &) = default;
};

struct ConfigFetch
{
    std::uint64_t haveVersion = 0;

    friend auto operator<=>(const ConfigFetch &, const ConfigFetch &) = default;
};

struct ConfigUpdate
{
    ConfigurationDelta update;

    friend auto operator<=>(const ConfigUpdate &, const ConfigUpdate &) = default;
};

/// Requests the member records of the buckets whose hashes differ.
struct MemberFetch
{
    std::vector<std::uint64_t> bucketHashes;

    friend auto operator<=>(const MemberFetch &, const MemberFetch &) = default;
};

struct MemberTable
{
    std::vector<MemberRecord> records;

    friend auto operator<=>(const MemberTable &, const MemberTable &) = default;
};

/// Requests the votes of members that cannot read the platform.
struct ProbeRequest
{
    std::uint64_t sequence = 0;

    friend auto operator<=>(const ProbeRequest &, const ProbeRequest &) = default;
};

/// Vote of a member whose probe of the platform, started `age` ago, failed. `version` is its
/// configuration version. Any two majorities share a member, so a version that more than half of
/// the members have occurs in every majority of votes.
struct OutageVote
{
    core::InstanceId member;
    core::Duration age = {};
    std::uint64_t version = 0;

    friend auto operator<=>(const OutageVote &, const OutageVote &) = default;
};

struct ProbeReport
{
    std::uint64_t sequence = 0;
    std::vector<OutageVote> votes;

    friend auto operator<=>(const ProbeReport &, const ProbeReport &) = default;
};

/// Messages between nodes about membership, configuration and freshness.
using FleetMessage = std::variant<Heartbeat, HeartbeatReply, MemberEvent, ConfigFetch, ConfigUpdate,
                                  MemberFetch, MemberTable, ProbeRequest, ProbeReport>;

} // namespace boragerack::decisions
