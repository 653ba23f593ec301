#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "boragerack/core/Digest.h"
#include "boragerack/core/Identifier.h"
#include "boragerack/decisions/Artifact.h"
#include "boragerack/decisions/Quarantine.h"
#include "boragerack/decisions/TargetRates.h"
#include "boragerack/decisions/serving/LeaseRecord.h"
#include "boragerack/decisions/serving/ListChange.h"
#include "boragerack/decisions/serving/TargetEntry.h"

namespace boragerack::decisions {

/// Demand of one node for one artifact.
struct ArtifactDemand
{
    Artifact artifact;
    core::ServiceId service;
    /// Requests waiting for a replica.
    std::uint32_t waiting = 0;
    /// Requests that arrived since the last report.
    std::uint32_t arrived = 0;
    std::chrono::milliseconds oldestWait = {};
    /// Target time to the first part of the response, of the most urgent waiting request.
    std::chrono::milliseconds targetLatency = {};
    /// Prompt tokens of long requests that arrived since the last report.
    std::uint64_t longPromptTokens = 0;
    /// Requests that wait until a ready replica has room.
    std::uint32_t waitingForRoom = 0;

    friend auto operator<=>(const ArtifactDemand &, const ArtifactDemand &) = default;
};

/// Requests of one node in flight at one target.
struct ArtifactInFlight
{
    core::TargetId target;
    Artifact artifact;
    std::uint32_t inFlight = 0;

    friend auto operator<=>(const ArtifactInFlight &, const ArtifactInFlight &) = default;
};

struct TokenAmount
{
    core::OrganisationId organisation;
    std::int64_t tokens = 0;

    friend auto operator<=>(const TokenAmount &, const TokenAmount &) = default;
};

/// Rate-limit tokens that a node requests from the coordinator.
struct TokenRequest
{
    core::OrganisationId organisation;
    /// Tokens for waiting requests.
    std::int64_t waiting = 0;
    /// Tokens for expected requests; granted only while the bucket is not low.
    std::int64_t reserve = 0;

    friend auto operator<=>(const TokenRequest &, const TokenRequest &) = default;
};

/// Requests of all nodes in flight at one target.
struct TargetLoad
{
    core::TargetId target;
    std::uint32_t inFlight = 0;

    friend auto operator<=>(const TargetLoad &, const TargetLoad &) = default;
};

/// The last renewal of the coordinator's lease that the platform confirmed.
struct ConfirmedRenewal
{
    std::uint64_t incarnation = 0;
    std::uint64_t renewal = 0;
    /// Time since the renewal was sent.
    std::chrono::milliseconds age = {};

    friend auto operator<=>(const ConfirmedRenewal &, const ConfirmedRenewal &) = default;
};

/// A node as callers and other nodes see it.
struct FleetMember
{
    core::InstanceId instance;
    std::string callerAddress;
    core::DataCentreId dataCentre;
    /// Address for connections from other nodes.
    std::string peerAddress;
    /// Processor share in thousandths of a core; zero if unknown.
    std::uint32_t processorShare = 0;

    friend auto operator<=>(const FleetMember &, const FleetMember &) = default;
};

/// Versions of the lists in FleetState that a node knows; zero for none.
struct FleetVersions
{
    /// Term of the coordinator that issued the versions.
    std::uint64_t term = 0;
    std::uint64_t members = 0;
    std::uint64_t targets = 0;
    std::uint64_t placements = 0;
    std::uint64_t rates = 0;

    friend auto operator<=>(const FleetVersions &, const FleetVersions &) = default;
};

/// Part of a report about a node that reports through another node.
struct ChildReport
{
    FleetMember member;
    bool isStopping = false;
    std::vector<TokenRequest> wanted;
    std::vector<PermitRequest> permits;

    friend bool operator==(const ChildReport &, const ChildReport &) = default;
};

/// Sent by each node to the coordinator, or to a relay that adds it to its own report, several
/// times a second.
struct CoordinationReport
{
    FleetMember member;
    bool isStopping = false;
    FleetVersions known;
    std::uint64_t configurationVersion = 0;
    /// The node cannot read from the platform.
    bool isPlatformLost = false;
    /// Demand of the node and of its children.
    std::vector<ArtifactDemand> demands;
    /// Requests in flight of the node and of its children; empty if not reported this time.
    std::optional<std::vector<ArtifactInFlight>> uses;
    std::vector<TokenRequest> wanted;
    std::vector<PermitRequest> permits;
    /// Rates named by targets that the coordinator may not know yet.
    std::vector<RateObservation> rates;
    std::vector<quarantine::CrashReport> crashes;
    /// Fingerprints of reported crashes whose requests were answered completely since.
    std::vector<quarantine::Completed> completed;
    /// Fingerprints that a previous coordinator refused; empty if this one has them.
    std::vector<quarantine::Notice> refusals;
    /// Nodes that report through this one and reported since its last report.
    std::vector<ChildReport> children;
    /// The relay that did not answer the node; empty if none.
    core::InstanceId unresponsiveRelay;

    friend bool operator==(const CoordinationReport &, const CoordinationReport &) = default;
};

enum class CoordinatorStanding {
    Holding, ///< The lease is valid.
    Lapsed, ///< The lease could not be renewed in time; another node may take it.
    Absent, ///< The responding node does not hold the lease.
    Unreachable, ///< The responding node relays reports, but the coordinator did not answer it.
};

/// Artifacts that one target serves. Others that it may hold must not be used.
struct TargetPlacement
{
    core::TargetId target;
    std::uint64_t startedAt = 0;
    std::vector<Artifact> artifacts;
    /// Models whose long prompts the target reads.
    std::vector<core::ModelId> longPromptModels = {};

    friend auto operator<=>(const TargetPlacement &, const TargetPlacement &) = default;
};

/// State that the coordinator last read from the platform, which spares the other nodes the reads.
struct PlatformReadStatus
{
    std::uint64_t configurationVersion = 0;
    /// Age of the call that confirmed the configuration.
    std::chrono::milliseconds configurationAge = {};
    /// Age of the last response that listed the targets.
    std::chrono::milliseconds targetsAge = {};

    friend auto operator<=>(const PlatformReadStatus &, const PlatformReadStatus &) = default;
};

/// Changes of FleetState since the versions that a node knows.
struct FleetChange
{
    std::uint64_t term = 0;
    ListChange<core::InstanceId, FleetMember> members;
    /// Targets without their replicas, which `placements` contains.
    ListChange<core::TargetId, TargetEntry> targets;
    ListChange<core::TargetId, TargetPlacement> placements;
    /// Targets whose rate is limited.
    ListChange<core::TargetId, TargetRate> rates;

    friend auto operator<=>(const FleetChange &, const FleetChange &) = default;
};

/// Requests in flight at each target, in the order of the target list of this version.
struct TargetLoads
{
    std::uint64_t targetsVersion = 0;
    std::vector<std::uint32_t> inFlight;

    friend auto operator<=>(const TargetLoads &, const TargetLoads &) = default;
};

/// Changes of FleetState for the tasks of a node; lists that did not change are empty.
struct FleetUpdate
{
    FleetVersions versions;
    /// Versions that the update is relative to; zero if it is complete.
    FleetVersions since = {};
    std::optional<std::vector<FleetMember>> members;
    std::optional<std::vector<TargetEntry>> targets;
    /// Only the placements that changed.
    std::vector<TargetPlacement> placements;
    std::optional<std::vector<TargetRate>> rates;
    std::optional<std::vector<TargetLoad>> loads;

    friend bool operator==(const FleetUpdate &, const FleetUpdate &) = default;
};

/// Tokens and permits granted to a node that reports through the receiver.
struct ChildGrant
{
    core::InstanceId instance;
    std::vector<TokenAmount> granted;
    std::vector<PermitGrant> permits;

    friend bool operator==(const ChildGrant &, const ChildGrant &) = default;
};

/// The coordinator's response to a report.
struct CoordinationAnswer
{
    CoordinatorStanding standing = CoordinatorStanding::Absent;
    /// Empty if the node has to report through a relay, which sends the state.
    std::optional<FleetChange> change;
    /// Node to which further reports are to be sent; empty if that is the coordinator itself.
    std::optional<FleetMember> relay;
    PlatformReadStatus platformReadStatus;
    ConfirmedRenewal lease;
    /// Empty if the node has to report through a relay.
    std::optional<TargetLoads> loads;
    std::vector<TokenAmount> granted;
    std::vector<PermitGrant> permits;
    std::vector<ChildGrant> childGrants;
    std::vector<quarantine::Notice> quarantined;
    /// The configuration as stored by the platform. Empty unless the report has an older version;
    /// in a large fleet also empty unless the node cannot read from the platform.
    std::string configuration;
    /// The lease as last read by the responding node.
    std::optional<LeaseObservation> holder;
    /// Time until the next report if no event requires an earlier one.
    std::chrono::milliseconds reportAfter = {};

    friend bool operator==(const CoordinationAnswer &, const CoordinationAnswer &) = default;
};

} // namespace boragerack::decisions
