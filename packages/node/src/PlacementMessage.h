#pragma once

#include <variant>
#include <vector>

#include "TargetWatchTask.h"
#include "boragerack/decisions/PlannerMessages.h"
#include "boragerack/runtime/Reply.h"

namespace boragerack::node {

/// A request of this node needs a ready replica.
struct WakeReplica
{
    decisions::Artifact artifact;
    core::TimePoint deadline;
    runtime::Reply<core::Result<core::TargetId>> reply;
};

/// A node has sent demand to this one, which it believes to be the planner.
struct RemoteWake
{
    core::InstanceId node;
    std::uint64_t request = 0;
    decisions::Artifact artifact;
    core::TimePoint deadline;
    runtime::Reply<core::Result<core::TargetId>> reply;
};

struct InstancesListed
{
    std::vector<platform::InstanceRecord> instances;
};

/// Members of the region that may hold the planner role, this one included.
struct PlannerCandidates
{
    std::vector<core::InstanceId> instances;
};

struct StopPlacement
{
};

using PlacementMessage =
    std::variant<WakeReplica, RemoteWake, InstancesListed, PlannerCandidates, StopPlacement,
                 TargetChanges, decisions::ReplicaUsed, decisions::NodeLeft,
                 decisions::CatalogueAccepted, decisions::PlatformReachable,
                 decisions::ReplicaDrained, decisions::WriteAnswered, decisions::OrderAnswered,
                 decisions::EngineReported>;

} // namespace boragerack::node
