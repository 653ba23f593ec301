// Evacuation of data centres: no loads on their targets, and replacement of their replicas.
#include "boragerack/decisions/LoadPlanner.h"

#include <algorithm>

namespace boragerack::decisions {

namespace {

// Artifacts with a request within this time are loaded in other data centres before the next
// request for them. The platform's front end uses the same time.
constexpr std::chrono::seconds kAnticipatedUse(10);
// A return of the data centre takes effect within 5 s, so earlier retries would be refused as well.
constexpr std::chrono::seconds kEvacuatedRetryAfter(5);

} // namespace

bool LoadPlanner::isEvacuated(const core::TargetId &target) const
{
    const auto found = dataCentres_.find(target);
    return found != dataCentres_.end() && evacuated_.contains(found->second);
}

bool LoadPlanner::needsEvacuatedTarget(const Artifact &artifact) const
{
    std::uint64_t neededMiB = memoryOf(artifact);
    if (artifact.isAdapter())
        neededMiB += memoryOf(artifact.base());
    bool hasEvacuated = false;
    for (const core::TargetId &target : targets_) {
        const auto entry = ledger_.findTarget(target);
        if (!entry || !entry->isListed || entry->memoryMiB < neededMiB)
            continue;
        if (isEvacuated(target))
            hasEvacuated = true;
        else if (!entry->isLeaving)
            return false;
    }
    return hasEvacuated;
}

void LoadPlanner::applyEvacuations()
{
    for (const core::TargetId &target : targets_)
        forward(TargetEvacuated {target, isEvacuated(target)});
    // Replicas on evacuated targets are kept, since the data centre may return.
    std::erase_if(evictions_, [this](const ReplicaKey &key) { return isEvacuated(key.first); });
    for (auto &[artifact, demand] : demands_) {
        if (demand.plannedTarget && isEvacuated(*demand.plannedTarget))
            demand.plannedTarget.reset();
    }
    replaceEvacuated();
}

void LoadPlanner::refuseUnservable()
{
    if (evacuated_.empty())
        return;
    std::erase_if(demands_, [this](const auto &entry) {
        const auto &[artifact, demand] = entry;
        if (!needsEvacuatedTarget(artifact))
            return false;
        for (const Waiter &waiter : demand.waiters) {
            answer(artifact, waiter,
                   core::makeNotRunError(core::ErrorCode::NoReadyReplica,
                                         "only evacuated targets could serve the model",
                                         kEvacuatedRetryAfter));
        }
        return true;
    });
}

void LoadPlanner::replaceEvacuated()
{
    if (!isPlanner_ || evacuated_.empty())
        return;
    for (const auto &[key, use] : uses_) {
        const auto &[target, artifact] = key;
        const bool isInUse = !use.inFlight.empty()
            || (use.lastRequest && now_ - *use.lastRequest <= kAnticipatedUse);
        if (!isInUse || !isEvacuated(target) || !catalogue_.contains(artifact)
            || needsEvacuatedTarget(artifact))
            continue;
        const auto replicas = ledger_.replicasOf(artifact);
        const bool hasOther = std::ranges::any_of(replicas, [this](const auto &entry) {
            return entry.second.state == ReplicaState::Ready && !isEvacuated(entry.first)
                && !unreachable_.contains(entry.first);
        });
        if (hasOther)
            continue;
        const auto [demand, isNew] = demands_.try_emplace(artifact, Demand {now_, {}});
        demand->second.isAnticipated = isNew || demand->second.isAnticipated;
        demand->second.neededUntil = std::max(demand->second.neededUntil, now_ + kAnticipatedUse);
        isPlanningDue_ = true;
    }
}

} // namespace boragerack::decisions
