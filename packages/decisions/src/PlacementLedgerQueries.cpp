// What the ledger tells the load planner.
#include "PlacementLedgerState.h"

#include <algorithm>

namespace boragerack::decisions {

PlacementLedger::Replica PlacementLedger::makeReplica(const Track &track)
{
    return {track.order, track.memoryMiB, track.life.state(), track.life.orderState(), track.since};
}

std::optional<PlacementLedger::Replica>
PlacementLedger::findReplica(const Artifact &artifact, const core::TargetId &target) const
{
    const auto found = tracks_.find({target, artifact});
    if (found == tracks_.end())
        return std::nullopt;
    return makeReplica(found->second);
}

std::vector<std::pair<core::TargetId, PlacementLedger::Replica>>
PlacementLedger::replicasOf(const Artifact &artifact) const
{
    std::vector<std::pair<core::TargetId, Replica>> replicas;
    if (const auto model = models_.find(artifact); model != models_.end()) {
        for (const core::TargetId &target : model->second.tracks)
            replicas.emplace_back(target, makeReplica(tracks_.at({target, artifact})));
    }
    return replicas;
}

std::vector<std::pair<Artifact, PlacementLedger::Replica>>
PlacementLedger::replicasOn(const core::TargetId &target) const
{
    std::vector<std::pair<Artifact, Replica>> replicas;
    if (const auto entry = targets_.find(target); entry != targets_.end()) {
        for (const Artifact &artifact : entry->second.tracks)
            replicas.emplace_back(artifact, makeReplica(tracks_.at({target, artifact})));
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
    for (const Artifact &artifact : entry.tracks) {
        const Track &track = tracks_.at({target, artifact});
        if ((track.life.state() == ReplicaState::Deciding
             || track.life.state() == ReplicaState::Reserving)
            && !findIntent(entry.object.record, track.order))
            reserved += track.memoryMiB;
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
    return std::any_of(replicas.begin(), replicas.end(), [&](const ReplicaDecision &entry) {
        return !tracks_.contains({entry.target, artifact});
    });
}

bool PlacementLedger::hasAdapters(const Artifact &base, const core::TargetId &target) const
{
    const auto entry = targets_.find(target);
    if (entry == targets_.end())
        return false;
    // Adapters follow their model in the order of artifacts.
    const auto next = entry->second.tracks.upper_bound(base.base());
    return next != entry->second.tracks.end() && next->base() == base.base();
}

} // namespace boragerack::decisions
