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

/// Requests of one node for one artifact.
struct ArtifactDemand
{
    Artifact artifact;
    core::ServiceId service;
    /// Requests that wait for a replica.
    std::uint32_t waiting = 0;
    /// Requests that arrived since the last report.
    std::uint32_t arrived = 0;
    std::chrono::milliseconds oldestWait = {};
    /// Time to the first piece of the answer that the most urgent waiting request aims at.
    std::chrono::milliseconds targetLatency = {};

    friend auto operator<=>(const ArtifactDemand &, const ArtifactDemand &) = default;
};

/// Requests in flight of one node at one target.
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

/// Tokens that a node asks for.
struct TokenRequest
{
    core::OrganisationId organisation;
    /// For requests that wait.
    std::int64_t waiting = 0;
    /// For requests that are expected; granted only while there is plenty.
    std::int64_t reserve = 0;

    friend auto operator<=>(const TokenRequest &, const TokenRequest &) = default;
};

/// Requests in flight of all nodes at one target.
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

/// A target ended while it ran the request.
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
    /// Where other nodes reach it.
    std::string peerAddress;

    friend auto operator<=>(const FleetMember &, const FleetMember &) = default;
};

/// Sent by each node to the coordinator, several times a second.
struct CoordinationReport
{
    FleetMember member;
    bool isStopping = false;
    /// Coordinator whose version numbers follow; another one answers with everything.
    std::uint64_t term = 0;
    std::uint64_t membersVersion = 0;
    std::uint64_t placementVersion = 0;
    std::uint64_t targetsVersion = 0;
    std::uint64_t configurationVersion = 0;
    /// The node cannot read the platform.
    bool isPlatformLost = false;
    /// The list is long, so that not every report asks for it.
    bool wantsLoads = false;
    std::vector<ArtifactDemand> demands;
    std::vector<ArtifactInFlight> uses;
    std::vector<TokenRequest> wanted;
    std::vector<RequestCrash> deaths;

    friend bool operator==(const CoordinationReport &, const CoordinationReport &) = default;
};

enum class CoordinatorStanding {
    Holding, ///< The lease is fresh.
    Lapsed, ///< The lease could not be renewed in time; another node may take it.
    Absent, ///< The asked node does not hold the lease.
};

/// What one target serves at present; other artifacts that it may hold are not for use.
struct TargetPlacement
{
    core::TargetId target;
    std::uint64_t startedAt = 0;
    std::vector<Artifact> artifacts;

    friend auto operator<=>(const TargetPlacement &, const TargetPlacement &) = default;
};

/// What the coordinator last read of the platform, so that the other nodes need not read the same.
struct PlatformReadStatus
{
    std::uint64_t configurationVersion = 0;
    /// Age of the call that confirmed the configuration.
    std::chrono::milliseconds configurationAge = {};
    /// Age of the last answer about the targets.
    std::chrono::milliseconds targetsAge = {};

    friend auto operator<=>(const PlatformReadStatus &, const PlatformReadStatus &) = default;
};

/// The coordinator's answer to a report. Members, placements and targets are left out if they have
/// not changed since the versions that the report names.
struct CoordinationAnswer
{
    CoordinatorStanding standing = CoordinatorStanding::Absent;
    /// Distinguishes the version numbers of one coordinator from those of the next.
    std::uint64_t term = 0;
    std::uint64_t membersVersion = 0;
    std::vector<FleetMember> members;
    std::uint64_t placementVersion = 0;
    std::vector<TargetPlacement> placements;
    std::uint64_t targetsVersion = 0;
    /// All targets without their replicas, which the placements tell.
    std::vector<TargetEntry> targets;
    PlatformReadStatus platformReadStatus;
    ConfirmedRenewal lease;
    /// Targets with requests in flight; nothing unless the node wants them.
    std::optional<std::vector<TargetLoad>> loads;
    std::vector<TokenAmount> granted;
    std::vector<core::Digest> quarantined;
    /// The configuration as the platform keeps it; empty unless the report names an older one, and
    /// in a large fleet unless the node cannot read the platform.
    std::string configuration;
    /// The holder of the lease as the answering node last read it.
    std::optional<LeaseObservation> holder;
    /// Time until the next report if nothing happens.
    std::chrono::milliseconds reportAfter = {};

    friend bool operator==(const CoordinationAnswer &, const CoordinationAnswer &) = default;
};

} // namespace boragerack::decisions
