#pragma once

#include <vector>

#include "boragerack/core/Result.h"
#include "boragerack/decisions/PlannerMessages.h"

namespace boragerack::node {

/// Way to the planner of the region when it is another node.
class PlannerLink
{
public:
    PlannerLink() = default;
    PlannerLink(const PlannerLink &) = delete;
    PlannerLink &operator=(const PlannerLink &) = delete;
    virtual ~PlannerLink() = default;

    /// Waits for the planner's answer, at most until the deadline.
    virtual core::Result<core::TargetId> wake(const core::InstanceId &planner,
                                              const decisions::WakeRequested &request) = 0;
    virtual void reportUse(const core::InstanceId &planner,
                           const std::vector<decisions::ReplicaUsed> &uses) = 0;
};

} // namespace boragerack::node
