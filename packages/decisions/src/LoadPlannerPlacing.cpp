// Planning of loads and unloads.
#include "boragerack/decisions/LoadPlanner.h"

#include <algorithm>
#include <tuple>

namespace boragerack::decisions {

namespace {

// Memory is freed for at most this many waiting loads at once. With a slow weight store, more would
// evict replicas long before the loads can start.
constexpr std::size_t kMaxPlannedTargets = 8;

} // namespace

std::uint64_t LoadPlanner::memoryOf(const Artifact &artifact) const
{
    const auto found = catalogue_.find(artifact);
    return found == catalogue_.end() ? 0 : found->second;
}

CheckpointTier LoadPlanner::tierOf(const Artifact &artifact, const core::TargetId &target) const
{
    if (const auto tiers = cached_.find(target); tiers != cached_.end()) {
        if (const auto tier = tiers->second.find(artifact); tier != tiers->second.end())
            return tier->second;
    }
    return CheckpointTier::Remote;
}

core::Duration LoadPlanner::reloadCost(const ReplicaKey &key) const
{
    const auto &[target, artifact] = key;
    return costs_.estimate(tierOf(artifact, target), memoryOf(artifact));
}

bool LoadPlanner::isEligibleForLoad(const core::TargetId &target) const
{
    if (unreachable_.contains(target) || isEvacuated(target))
        return false;
    const auto avoided = avoidedUntil_.find(target);
    return avoided == avoidedUntil_.end() || avoided->second <= now_;
}

bool LoadPlanner::isIdle(const ReplicaKey &key) const
{
    const auto use = uses_.find(key);
    if (use == uses_.end() || !use->second.inFlight.empty() || demands_.contains(key.second))
        return false;
    // A model counts as in use while one of its adapters waits to be loaded. Otherwise two demands
    // that need each other's memory would evict it alternately.
    const Artifact &artifact = key.second;
    const auto next = artifact.isAdapter() ? demands_.end() : demands_.upper_bound(artifact);
    return next == demands_.end() || next->first.base() != artifact;
}

bool LoadPlanner::isBeingLoaded(const Artifact &artifact) const
{
    if (ledger_.hasUnknownDecision(artifact))
        return true;
    const auto replicas = ledger_.replicasOf(artifact);
    return std::any_of(replicas.begin(), replicas.end(), [this](const auto &entry) {
        const PlacementLedger::Replica &replica = entry.second;
        // No request will be sent to this replica, so another one is needed.
        if (isEvacuated(entry.first))
            return false;
        switch (replica.state) {
        case ReplicaState::Deciding:
        case ReplicaState::Reserving:
            return true;
        case ReplicaState::Loading:
            return replica.orderState == OrderState::Confirmed
                || now_ - replica.since < settings_.stuckAfter;
        default:
            return false;
        }
    });
}

void LoadPlanner::planLoads()
{
    isPlanningDue_ = false;
    if (!ledger_.isActive() || !isPlatformReachable_)
        return;
    // Loads for waiting requests go before those for requests that are only expected.
    std::vector<std::tuple<bool, core::TimePoint, Artifact>> waiting;
    for (const auto &[artifact, demand] : demands_)
        waiting.emplace_back(demand.isAnticipated, demand.since, artifact);
    std::sort(waiting.begin(), waiting.end());
    for (const auto &[isAnticipated, since, artifact] : waiting) {
        if (demands_.contains(artifact))
            planLoad(artifact);
    }
}

void LoadPlanner::planLoad(const Artifact &artifact)
{
    if (answerIfReady(artifact))
        return;
    for (const auto &[target, replica] : ledger_.replicasOf(artifact)) {
        if (replica.state == ReplicaState::Draining && !isEvacuated(target)) {
            evictions_.erase({target, artifact});
            forward(CancelDrain {artifact, target});
            return;
        }
    }
    if (isBeingLoaded(artifact))
        return;
    if (artifact.isAdapter())
        placeAdapter(artifact);
    else
        placeModel(artifact);
}

void LoadPlanner::placeAdapter(const Artifact &artifact)
{
    if (!limiter_.hasAdapterRoom())
        return;
    const std::uint64_t memoryMiB = memoryOf(artifact);
    const auto bases = ledger_.replicasOf(artifact.base());
    bool isBaseReady = false;
    for (const auto &[target, base] : bases) {
        if (base.state != ReplicaState::Ready || isEvacuated(target))
            continue;
        isBaseReady = true;
        const auto entry = ledger_.findTarget(target);
        if (!entry->isListed || entry->isLeaving || !isEligibleForLoad(target)
            || ledger_.findReplica(artifact, target))
            continue;
        if (entry->reservedMiB + memoryMiB <= entry->memoryMiB) {
            uses_[{target, artifact.base()}].lastUsed = now_;
            place(artifact, target, CheckpointTier::Remote);
            return;
        }
        if (isFreeingMemory(target))
            return;
        std::uint64_t freeMiB = entry->memoryMiB - std::min(entry->memoryMiB, entry->reservedMiB);
        for (const IdleReplica &idle : findIdle(target)) {
            if (freeMiB >= memoryMiB)
                break;
            if (idle.artifact == artifact.base())
                continue;
            evictions_.insert({target, idle.artifact});
            freeMiB += idle.memoryMiB;
        }
        continueEvictions();
        return;
    }
    if (isBaseReady)
        return;
    // The model is loaded first; the adapter is placed when the model is ready.
    const Demand &demand = demands_.at(artifact);
    core::TimePoint neededUntil = now_;
    for (const Waiter &waiter : demand.waiters)
        neededUntil = std::max(neededUntil, waiter.deadline);
    const auto [entry, isNew] = demands_.try_emplace(artifact.base(), Demand {demand.since, {}});
    Demand &base = entry->second;
    base.neededUntil = std::max({base.neededUntil, neededUntil, demand.neededUntil});
    base.isAnticipated = demand.isAnticipated && (isNew || base.isAnticipated);
    planLoad(artifact.base());
}

void LoadPlanner::placeModel(const Artifact &artifact)
{
    const std::uint64_t memoryMiB = memoryOf(artifact);
    Demand &demand = demands_.at(artifact);
    if (memoryMiB == 0 || (demand.plannedTarget && isFreeingMemory(*demand.plannedTarget)))
        return;
    demand.plannedTarget.reset();
    const std::optional<PlacementChoice> choice =
        policy_->choose(memoryMiB, makeOffers(artifact, memoryMiB), now_);
    if (!choice)
        return;
    if (!choice->evicted.empty()) {
        const auto plannedCount =
            std::count_if(demands_.begin(), demands_.end(),
                          [](const auto &entry) { return entry.second.plannedTarget.has_value(); });
        if (static_cast<std::size_t>(plannedCount) >= kMaxPlannedTargets)
            return;
        demand.plannedTarget = choice->target;
        for (const Artifact &evicted : choice->evicted)
            evictions_.insert({choice->target, evicted});
        continueEvictions();
        return;
    }
    const CheckpointTier tier = tierOf(artifact, choice->target);
    // Only remote checkpoints are read from the weight store.
    if (tier == CheckpointTier::Remote && !limiter_.hasModelRoom(now_)) {
        demand.plannedTarget = choice->target;
        return;
    }
    place(artifact, choice->target, tier);
}

bool LoadPlanner::isFreeingMemory(const core::TargetId &target) const
{
    const auto replicas = ledger_.replicasOn(target);
    return std::any_of(replicas.begin(), replicas.end(), [&](const auto &entry) {
        const ReplicaState state = entry.second.state;
        return evictions_.contains({target, entry.first}) || state == ReplicaState::Draining
            || state == ReplicaState::Unloading || state == ReplicaState::Releasing;
    });
}

void LoadPlanner::place(const Artifact &artifact, const core::TargetId &target, CheckpointTier tier)
{
    const bool isCounted = tier == CheckpointTier::Remote;
    if (isCounted && artifact.isAdapter())
        limiter_.startAdapterLoad();
    else if (isCounted)
        limiter_.startModelLoad(now_);
    loads_.insert_or_assign({target, artifact}, Load {now_, tier, isCounted});
    forward(PlaceReplica {artifact, target, memoryOf(artifact)});
}

std::vector<TargetOffer> LoadPlanner::makeOffers(const Artifact &artifact,
                                                 std::uint64_t memoryMiB) const
{
    std::map<core::TargetId, std::uint64_t> plannedMiB;
    for (const auto &[other, demand] : demands_) {
        if (demand.plannedTarget && other != artifact)
            plannedMiB[*demand.plannedTarget] += memoryOf(other);
    }
    std::vector<TargetOffer> offers;
    bool hasFreeTarget = false;
    for (const core::TargetId &target : targets_) {
        const auto entry = ledger_.findTarget(target);
        if (!entry || !entry->isListed || entry->isLeaving || !entry->isKnown
            || entry->memoryMiB < memoryMiB || !isEligibleForLoad(target)
            || ledger_.findReplica(artifact, target))
            continue;
        const auto planned = plannedMiB.find(target);
        const std::uint64_t used =
            entry->reservedMiB + (planned == plannedMiB.end() ? 0 : planned->second);
        const CheckpointTier tier = tierOf(artifact, target);
        const auto cached = cached_.find(target);
        offers.push_back({target,
                          entry->memoryMiB,
                          entry->memoryMiB - std::min(entry->memoryMiB, used),
                          tier,
                          costs_.estimate(tier, memoryMiB),
                          {},
                          cached != cached_.end() && !cached->second.empty()});
        hasFreeTarget = hasFreeTarget || offers.back().freeMiB >= memoryMiB;
    }
    for (TargetOffer &offer : offers) {
        if (offer.freeMiB < memoryMiB && (!hasFreeTarget || offer.tier != CheckpointTier::Remote))
            offer.idle = findIdle(offer.target);
    }
    return offers;
}

std::vector<IdleReplica> LoadPlanner::findIdle(const core::TargetId &target) const
{
    std::vector<IdleReplica> idle;
    const auto first = uses_.lower_bound({target, Artifact {}});
    for (auto use = first; use != uses_.end() && use->first.first == target; ++use) {
        const Artifact &artifact = use->first.second;
        if (!isIdle(use->first) || evictions_.contains(use->first))
            continue;
        IdleReplica replica {artifact, memoryOf(artifact), use->second.lastUsed,
                             reloadCost(use->first)};
        if (!artifact.isAdapter()) {
            // A model is evicted together with its adapters, which sort directly after it.
            bool areAdaptersIdle = true;
            for (auto next = std::next(use); next != uses_.end() && next->first.first == target
                 && next->first.second.base() == artifact;
                 ++next) {
                areAdaptersIdle = areAdaptersIdle && isIdle(next->first);
                replica.memoryMiB += memoryOf(next->first.second);
                replica.lastUsed = std::max(replica.lastUsed, next->second.lastUsed);
            }
            if (!areAdaptersIdle)
                continue;
        }
        idle.push_back(replica);
    }
    return idle;
}

void LoadPlanner::continueEvictions()
{
    const std::set<ReplicaKey> evictions = evictions_;
    for (const ReplicaKey &key : evictions) {
        const auto &[target, artifact] = key;
        const auto replica = ledger_.findReplica(artifact, target);
        if (!replica || !isIdle(key)) {
            evictions_.erase(key);
            continue;
        }
        if (replica->state != ReplicaState::Ready)
            continue;
        if (!artifact.isAdapter() && ledger_.hasAdapters(artifact, target)) {
            for (const auto &[other, state] : ledger_.replicasOn(target)) {
                if (other.isAdapter() && other.base() == artifact
                    && state.state == ReplicaState::Ready && isIdle({target, other}))
                    forward(DrainReplica {other, target});
            }
            continue;
        }
        forward(DrainReplica {artifact, target});
    }
}

void LoadPlanner::unloadIdle()
{
    if (!ledger_.isActive() || !isPlatformReachable_)
        return;
    std::vector<ReplicaKey> expired;
    std::optional<core::TargetId> current;
    double used = 0;
    for (const auto &[key, use] : uses_) {
        const auto &[target, artifact] = key;
        if (!isIdle(key) || evictions_.contains(key)
            || (!artifact.isAdapter() && ledger_.hasAdapters(artifact, target)))
            continue;
        if (current != target) {
            current = target;
            const auto entry = ledger_.findTarget(target);
            used = entry && entry->memoryMiB > 0
                ? static_cast<double>(entry->reservedMiB) / static_cast<double>(entry->memoryMiB)
                : 0;
        }
        if (!catalogue_.contains(artifact)
            || now_ - use.lastUsed
                >= policy_->holdTime({reloadCost(key), used, artifact.isAdapter()}))
            expired.push_back(key);
    }
    for (const auto &[target, artifact] : expired) {
        const auto replica = ledger_.findReplica(artifact, target);
        if (replica && replica->state == ReplicaState::Ready)
            forward(DrainReplica {artifact, target});
    }
}

} // namespace boragerack::decisions
