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
    PlatformRead, ///< A relay read the platform.
    ConfirmedOutage, ///< More than half of the members confirmed that they cannot read it.
};

/// Evidence that `version` was the accepted version `age` ago.
struct FreshnessProof
{
    FreshnessProofKind kind = FreshnessProofKind::PlatformRead;
    std::uint64_t version = 0;
    core::Duration age = {};

    friend auto operator<=>(const FreshnessProof &, const FreshnessProof &) = default;
};

/// What a node tells about itself, both in a heartbeat and in the answer to one.
struct NodeReport
{
    std::uint64_t incarnation = 0;
    std::uint32_t refutation = 0;
    std::uint64_t configurationVersion = 0;
    /// Hash over the member records; a difference makes the other node pull.
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

/// The platform object `nodes/<instance>`. A removed record keeps the version of its removal.
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

/// A change of the members that is passed on over the overlay. A node passes it on only if it tells
/// the node something new, so that repeats end by themselves.
struct MemberEvent
{
    MemberEventKind kind = MemberEventKind::Record;
    MemberRecord record;
    /// Grows each time a member refutes a suspicion within one incarnation.
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

/// Asks for the member records of the buckets whose hash differs.
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

/// Asks which members confirm that the platform cannot be read.
struct ProbeRequest
{
    std::uint64_t sequence = 0;

    friend auto operator<=>(const ProbeRequest &, const ProbeRequest &) = default;
};

/// A member could not read the platform in a probe that it started `age` ago. `version` is its
/// configuration: a version that more than half of the members have shows up in every majority.
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

/// The messages between nodes that this part of the system exchanges.
using FleetMessage = std::variant<Heartbeat, HeartbeatReply, MemberEvent, ConfigFetch, ConfigUpdate,
                                  MemberFetch, MemberTable, ProbeRequest, ProbeReport>;

} // namespace boragerack::decisions
