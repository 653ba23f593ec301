#pragma once

#include <variant>
#include <vector>

#include "TargetWatchTask.h"
#include "boragerack/decisions/PlannerMessages.h"
#include "boragerack/runtime/ReplyChannel.h"

namespace boragerack::node {

/// A request on this node needs a ready replica.
struct RequestColdStart
{
    decisions::Artifact artifact;
    core::TimePoint deadline;
    runtime::ReplyChannel<core::Result<core::TargetId>> reply;
};

/// Another node, which considers this one the planner, requests a cold start.
struct RemoteColdStartRequest
{
    core::InstanceId node;
    std::uint64_t request = 0;
    decisions::Artifact artifact;
    core::TimePoint deadline;
    runtime::ReplyChannel<core::Result<core::TargetId>> reply;
};

struct InstancesListed
{
    std::vector<platform::InstanceRecord> instances;
};

/// Members of the region that are eligible as planner, including this node.
struct PlannerCandidates
{
    std::vector<core::InstanceId> instances;
};

struct ReportFetched
{
    core::TargetId target;
    bool isAnswered = false;
};

struct StopPlacement
{
};

using PlacementMessage =
    std::variant<RequestColdStart, RemoteColdStartRequest, InstancesListed, PlannerCandidates,
                 ReportFetched, StopPlacement, TargetChanges, decisions::ReplicaUsed,
                 decisions::NodeLeft, decisions::CatalogueAccepted, decisions::PlatformReachable,
                 decisions::TargetReachable, decisions::ReplicaDrained, decisions::WriteAnswered,
                 decisions::OrderAnswered, decisions::EngineReported>;

} // namespace boragerack::node
