#pragma once

#include <map>
#include <vector>

#include "boragerack/decisions/Artifact.h"
#include "boragerack/decisions/serving/SendPermission.h"
#include "boragerack/platform/PlatformTypes.h"

namespace boragerack::node {

/// Targets known to a node: the instance list and the ready replicas.
struct TargetTable
{
    std::map<core::TargetId, platform::InstanceRecord> targets;
    std::map<decisions::Artifact, std::vector<core::TargetId>> ready;

    friend auto operator<=>(const TargetTable &, const TargetTable &) = default;
};

/// Targets of a plain service that are in the instance list.
std::vector<core::TargetId> findServiceTargets(const TargetTable &table,
                                               const core::ServiceId &service);

/// Whether a request may still be sent to a target that was selected earlier.
decisions::SendPermission sendPermission(const TargetTable &table, const core::TargetId &target);

} // namespace boragerack::node
