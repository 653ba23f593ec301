#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "boragerack/core/Digest.h"
#include "boragerack/core/Identifier.h"
#include "boragerack/decisions/Artifact.h"
#include "boragerack/decisions/serving/LeaseRecord.h"
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

/// Reports that a target crashed while it executed a request.
struct RequestCrash
{
    core::Digest fingerprint;
    std::string attempt;

    friend bool operator==(const RequestCrash &, const RequestCrash &) = default;
};

/// A node as callers and other nodes see it.
struct FleetMember
{
    core::InstanceId instance;
    std::string callerAddress;
    core::DataCentreId dataCentre;
    /// Address for connections from other nodes.
    std::string peerAddress;

    friend auto operator<=>(const FleetMember &, const FleetMember &) = default;
};

/// Sent by each node to the coordinator, several times a second.
struct CoordinationReport
{
    FleetMember member;
    bool isStopping = false;
    /// Term of the coordinator that issued the versions below. A coordinator with another term
    /// responds with its complete state.
    std::uint64_t term = 0;
    std::uint64_t membersVersion = 0;
    std::uint64_t placementVersion = 0;
    std::uint64_t targetsVersion = 0;
    std::uint64_t configurationVersion = 0;
    /// The node cannot read from the platform.
    bool isPlatformLost = false;
    /// Requests `CoordinationAnswer::loads`. The list is long, so not every report requests it.
    bool wantsLoads = false;
    std::vector<ArtifactDemand> demands;
    std::vector<ArtifactInFlight> uses;
    std::vector<TokenRequest> wanted;
    std::vector<RequestCrash> crashes;

    friend bool operator==(const CoordinationReport &, const CoordinationReport &) = default;
};

enum class CoordinatorStanding {
    Holding, ///< The lease is valid.
    Lapsed, ///< The lease could not be renewed in time; another node may take it.
    Absent, ///< The responding node does not hold the lease.
};

/// Artifacts that one target serves. Others that it may hold must not be used.
struct TargetPlacement
{
    core::TargetId target;
    std::uint64_t startedAt = 0;
    std::vector<Artifact> artifacts;

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

/// The coordinator's response to a report. Members, placements and targets are omitted if they have
/// not changed since the versions in the report.
struct CoordinationAnswer
{
    CoordinatorStanding standing = CoordinatorStanding::Absent;
    /// Identifies the coordinator that issued the versions below; the next one has its own
    /// sequence.
    std::uint64_t term = 0;
    std::uint64_t membersVersion = 0;
    std::vector<FleetMember> members;
    std::uint64_t placementVersion = 0;
    std::vector<TargetPlacement> placements;
    std::uint64_t targetsVersion = 0;
    /// All targets, without their replicas: `placements` contains these.
    std::vector<TargetEntry> targets;
    PlatformReadStatus platformReadStatus;
    ConfirmedRenewal lease;
    /// Targets with requests in flight; set only if the report requested them.
    std::optional<std::vector<TargetLoad>> loads;
    std::vector<TokenAmount> granted;
    std::vector<core::Digest> quarantined;
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
