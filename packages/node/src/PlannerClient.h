#pragma once

#include <vector>

#include "boragerack/core/Result.h"
#include "boragerack/decisions/PlannerMessages.h"

namespace boragerack::node {

/// Sends messages to the planner of the region if it is another node.
class PlannerClient
{
public:
    PlannerClient() = default;
    PlannerClient(const PlannerClient &) = delete;
    PlannerClient &operator=(const PlannerClient &) = delete;
    virtual ~PlannerClient() = default;

    /// Requests a ready replica and waits for the reply, at most until the deadline.
    virtual core::Result<core::TargetId>
    requestColdStart(const core::InstanceId &planner,
                     const decisions::ColdStartRequested &request) = 0;
    virtual void reportInFlight(const core::InstanceId &planner,
                                const std::vector<decisions::ReplicaUsed> &uses) = 0;
};

} // namespace boragerack::node
