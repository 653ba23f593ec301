#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Result.h"
#include "boragerack/decisions/PlacementMessages.h"

namespace boragerack::decisions {

/// A node has a request for an artifact without a ready replica. A message with the same node and
/// request number replaces the earlier one.
struct ColdStartRequested
{
    core::InstanceId node;
    std::uint64_t request = 0; ///< Unique within the node.
    Artifact artifact;
    core::TimePoint deadline = {};

    friend auto operator<=>(const ColdStartRequested &, const ColdStartRequested &) = default;
};

/// Number of requests that one node has in flight on a replica. A replica is idle if no node has
/// any.
struct ReplicaUsed
{
    core::InstanceId node;
    Artifact artifact;
    core::TargetId target;
    std::uint32_t inFlight = 0;

    friend auto operator<=>(const ReplicaUsed &, const ReplicaUsed &) = default;
};

/// A node was removed or has restarted; its requests in flight have ended.
struct NodeLeft
{
    core::InstanceId node;

    friend auto operator<=>(const NodeLeft &, const NodeLeft &) = default;
};

struct CatalogueEntry
{
    Artifact artifact;
    std::uint64_t memoryMiB = 0;

    friend auto operator<=>(const CatalogueEntry &, const CatalogueEntry &) = default;
};

/// The artifacts of the accepted configuration, and the evacuations of the same version. Replicas
/// of other artifacts are drained.
struct CatalogueAccepted
{
    std::vector<CatalogueEntry> entries;
    std::set<core::DataCentreId> evacuated = {};

    friend auto operator<=>(const CatalogueAccepted &, const CatalogueAccepted &) = default;
};

/// Whether the target answers report requests. While it is unreachable, its replicas and
/// reservations stay recorded, but no request is routed to it and nothing is placed on it.
struct TargetReachable
{
    core::TargetId target;
    bool isReachable = true;

    friend auto operator<=>(const TargetReachable &, const TargetReachable &) = default;
};

/// Whether the platform is reachable. No load is started while it is not.
struct PlatformReachable
{
    bool isReachable = true;

    friend auto operator<=>(const PlatformReachable &, const PlatformReachable &) = default;
};

using PlannerEvent =
    std::variant<ColdStartRequested, ReplicaUsed, NodeLeft, CatalogueAccepted, PlatformReachable,
                 TargetReachable, ReplicaDrained, PlatformSnapshot, ModelRead, TargetRead,
                 WriteAnswered, OrderAnswered, EngineReported, TargetListed, TargetRemoved,
                 InstanceRemoved, RoleChanged, PlacementTick>;

/// Answer to a ColdStartRequested: a target with a ready replica, or a refusal with verdict NotRun.
struct ColdStartAnswered
{
    core::InstanceId node;
    std::uint64_t request = 0;
    Artifact artifact;
    core::Result<core::TargetId> outcome;

    friend bool operator==(const ColdStartAnswered &, const ColdStartAnswered &) = default;
};

/// After ReplicaStateChanged to Draining, the caller must stop all nodes from using the replica,
/// and send ReplicaDrained when none has a request in flight.
using PlannerAction =
    std::variant<WriteModel, WriteTarget, SendOrder, ReplicaStateChanged, ColdStartAnswered>;

} // namespace boragerack::decisions
