// Queries of the load planner.
#include "PlacementLedgerState.h"

#include <algorithm>

namespace boragerack::decisions {

PlacementLedger::Replica PlacementLedger::makeReplica(const TrackedReplica &replica)
{
    return {replica.order, replica.memoryMiB, replica.lifecycle.state(),
            replica.lifecycle.orderState(), replica.since};
}

std::optional<PlacementLedger::Replica>
PlacementLedger::findReplica(const Artifact &artifact, const core::TargetId &target) const
{
    const auto found = replicas_.find({target, artifact});
    if (found == replicas_.end())
        return std::nullopt;
    return makeReplica(found->second);
}

std::vector<std::pair<core::TargetId, PlacementLedger::Replica>>
PlacementLedger::replicasOf(const Artifact &artifact) const
{
    std::vector<std::pair<core::TargetId, Replica>> replicas;
    if (const auto model = models_.find(artifact); model != models_.end()) {
        for (const core::TargetId &target : model->second.targets)
            replicas.emplace_back(target, makeReplica(replicas_.at({target, artifact})));
    }
    return replicas;
}

std::vector<std::pair<Artifact, PlacementLedger::Replica>>
PlacementLedger::replicasOn(const core::TargetId &target) const
{
    std::vector<std::pair<Artifact, Replica>> replicas;
    if (const auto entry = targets_.find(target); entry != targets_.end()) {
        for (const Artifact &artifact : entry->second.artifacts)
            replicas.emplace_back(artifact, makeReplica(replicas_.at({target, artifact})));
    }
    return replicas;
}

std::optional<PlacementLedger::Target>
PlacementLedger::findTarget(const core::TargetId &target) const
{
    const auto found = targets_.find(target);
    if (found == targets_.end())
        return std::nullopt;
    const TargetEntry &entry = found->second;
    std::uint64_t reserved = reservedMiB(entry.object.record);
    for (const Artifact &artifact : entry.artifacts) {
        const TrackedReplica &replica = replicas_.at({target, artifact});
        if ((replica.lifecycle.state() == ReplicaState::Deciding
             || replica.lifecycle.state() == ReplicaState::Reserving)
            && !findReservation(entry.object.record, replica.order))
            reserved += replica.memoryMiB;
    }
    return Target {entry.listedMiB, reserved,        entry.checksFencing,
                   entry.isListed,  entry.isLeaving, entry.object.version != 0};
}

bool PlacementLedger::hasUnknownDecision(const Artifact &artifact) const
{
    const auto model = models_.find(artifact);
    if (model == models_.end())
        return false;
    const auto &replicas = model->second.object.record.replicas;
    return std::any_of(replicas.begin(), replicas.end(), [&](const ReplicaDecision &decision) {
        return !replicas_.contains({decision.target, artifact});
    });
}

bool PlacementLedger::hasAdapters(const Artifact &base, const core::TargetId &target) const
{
    const auto entry = targets_.find(target);
    if (entry == targets_.end())
        return false;
    // Adapters sort directly after their model.
    const auto next = entry->second.artifacts.upper_bound(base.base());
    return next != entry->second.artifacts.end() && next->base() == base.base();
}

} // namespace boragerack::decisions
