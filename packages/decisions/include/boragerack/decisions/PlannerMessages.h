#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Result.h"
#include "boragerack/decisions/PlacementMessages.h"

namespace boragerack::decisions {

/// A node has a request for an artifact without a ready replica. Repeating the message with the
/// same identity replaces the earlier one.
struct ColdStartRequested
{
    core::InstanceId node;
    std::uint64_t request = 0; ///< Unique within the node.
    Artifact artifact;
    core::TimePoint deadline = {};

    friend auto operator<=>(const ColdStartRequested &, const ColdStartRequested &) = default;
};

/// Requests in flight that one node has on a replica. A replica of which no node reports use is
/// idle.
struct ReplicaUsed
{
    core::InstanceId node;
    Artifact artifact;
    core::TargetId target;
    std::uint32_t inFlight = 0;

    friend auto operator<=>(const ReplicaUsed &, const ReplicaUsed &) = default;
};

/// A node has left or restarted; its requests in flight are over.
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

/// The accepted configuration names these artifacts. Replicas of others are drained.
struct CatalogueAccepted
{
    std::vector<CatalogueEntry> entries;

    friend auto operator<=>(const CatalogueAccepted &, const CatalogueAccepted &) = default;
};

/// Whether the target answers requests for its report. Its replicas and memory stay as recorded,
/// but no request is sent to it and nothing is placed on it while it does not.
struct TargetReachable
{
    core::TargetId target;
    bool isReachable = true;

    friend auto operator<=>(const TargetReachable &, const TargetReachable &) = default;
};

/// Whether the platform answers. No new load starts while it does not.
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

/// ReplicaStateChanged to Draining asks the caller to take the replica out of use at all nodes and
/// to send ReplicaDrained when none has a request in flight.
using PlannerAction =
    std::variant<WriteModel, WriteTarget, SendOrder, ReplicaStateChanged, ColdStartAnswered>;

} // namespace boragerack::decisions
