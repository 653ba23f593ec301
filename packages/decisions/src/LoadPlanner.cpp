#include "boragerack/decisions/LoadPlanner.h"

#include <algorithm>

namespace boragerack::decisions {

namespace {

// Interval of the periodic checks of all replicas.
constexpr std::chrono::seconds kTickInterval(1);
// Delay after which a refused node may retry; a planner change or a load has usually completed by
// then.
constexpr std::chrono::seconds kRetryAfter(1);

} // namespace

LoadPlanner::LoadPlanner(core::InstanceId instance, std::uint64_t incarnation,
                         PlacementCharts charts, std::unique_ptr<PlacementPolicy> policy,
                         const PlannerSettings &settings)
    : ledger_(std::move(instance), incarnation, std::move(charts))
    , policy_(std::move(policy))
    , settings_(settings)
    , limiter_(settings.weightStore)
{
}

LoadPlanner::~LoadPlanner() = default;

std::vector<PlannerAction> LoadPlanner::handle(const PlannerEvent &event, core::TimePoint now)
{
    now_ = now;
    actions_.clear();
    std::visit([this](const auto &each) { on(each); }, event);
    if (isPlanningDue_) {
        refuseUnservable();
        planLoads();
    }
    return std::move(actions_);
}

template<class Event>
void LoadPlanner::on(const Event &event)
{
    forward(event);
    isPlanningDue_ = true;
}

void LoadPlanner::forward(const LedgerEvent &event)
{
    const std::vector<LedgerAction> actions = ledger_.handle(event, now_);
    std::vector<ReplicaStateChanged> changes;
    for (const LedgerAction &action : actions) {
        std::visit([this](const auto &each) { actions_.emplace_back(each); }, action);
        if (const auto *change = std::get_if<ReplicaStateChanged>(&action))
            changes.push_back(*change);
    }
    for (const ReplicaStateChanged &change : changes)
        onReplicaStateChanged(change);
    isPlanningDue_ = isPlanningDue_ || !changes.empty();
}

void LoadPlanner::onReplicaStateChanged(const ReplicaStateChanged &change)
{
    const ReplicaKey key {change.target, change.artifact};
    switch (change.state) {
    case ReplicaState::Loading:
        if (const auto load = loads_.find(key); load != loads_.end())
            load->second.since = now_;
        return;
    case ReplicaState::Ready:
        uses_.try_emplace(key, Use {now_, {}});
        finishLoad(key, true);
        answerIfReady(change.artifact);
        return;
    case ReplicaState::Draining:
        uses_.try_emplace(key, Use {now_, {}});
        return;
    default:
        uses_.erase(key);
        evictions_.erase(key);
        finishLoad(key, false);
        // A model scheduled for eviction can be drained once its last adapter is unloaded.
        continueEvictions();
    }
}

void LoadPlanner::finishLoad(const ReplicaKey &key, bool isReady)
{
    const auto found = loads_.find(key);
    if (found == loads_.end())
        return;
    const Load load = found->second;
    loads_.erase(found);
    const auto &[target, artifact] = key;
    if (load.isCounted && artifact.isAdapter())
        limiter_.finishAdapterLoad();
    else if (load.isCounted)
        limiter_.finishModelLoad();
    // A load that was withdrawn because of an evacuation is no fault of the target.
    if (!isReady && !isEvacuated(target))
        avoidedUntil_[target] = now_ + settings_.avoidAfterFailure;
    else if (isReady && !artifact.isAdapter())
        costs_.observe(load.tier, memoryOf(artifact), now_ - load.since);
}

void LoadPlanner::answer(const Artifact &artifact, const Waiter &waiter,
                         const core::Result<core::TargetId> &outcome)
{
    actions_.emplace_back(ColdStartAnswered {waiter.node, waiter.request, artifact, outcome});
}

bool LoadPlanner::answerIfReady(const Artifact &artifact)
{
    for (const auto &[target, replica] : ledger_.replicasOf(artifact)) {
        if (replica.state != ReplicaState::Ready || unreachable_.contains(target)
            || isEvacuated(target))
            continue;
        uses_[{target, artifact}].lastUsed = now_;
        evictions_.erase({target, artifact});
        if (const auto demand = demands_.find(artifact); demand != demands_.end()) {
            for (const Waiter &waiter : demand->second.waiters)
                answer(artifact, waiter, target);
            demands_.erase(demand);
        }
        return true;
    }
    return false;
}

void LoadPlanner::on(const TargetReachable &event)
{
    if (event.isReachable)
        unreachable_.erase(event.target);
    else
        unreachable_.insert(event.target);
    isPlanningDue_ = true;
}

void LoadPlanner::on(const ColdStartRequested &event)
{
    const Waiter waiter {event.node, event.request, event.deadline};
    if (!isPlanner_) {
        refuseAsNotPlanner(event.artifact, waiter);
        return;
    }
    if (!catalogue_.contains(event.artifact)) {
        answer(event.artifact, waiter,
               core::makeNotRunError(core::ErrorCode::NotFound,
                                     "the configuration does not name this model"));
        return;
    }
    Demand &demand = demands_.try_emplace(event.artifact, Demand {now_, {}}).first->second;
    std::erase_if(demand.waiters, [&waiter](const Waiter &each) {
        return each.node == waiter.node && each.request == waiter.request;
    });
    demand.waiters.push_back(waiter);
    demand.isAnticipated = false;
    isPlanningDue_ = !answerIfReady(event.artifact);
}

void LoadPlanner::refuseAsNotPlanner(const Artifact &artifact, const Waiter &waiter)
{
    answer(artifact, waiter,
           core::makeNotRunError(core::ErrorCode::NoReadyReplica, "this node is not the planner",
                                 kRetryAfter));
}

void LoadPlanner::on(const RoleChanged &event)
{
    isPlanner_ = event.isPlanner;
    if (!isPlanner_) {
        for (const auto &[artifact, demand] : demands_) {
            for (const Waiter &waiter : demand.waiters)
                refuseAsNotPlanner(artifact, waiter);
        }
        demands_.clear();
        evictions_.clear();
    }
    forward(event);
    isPlanningDue_ = true;
}

void LoadPlanner::refuseExpired()
{
    const core::TimePoint limit = now_ + settings_.refusalMargin;
    for (auto entry = demands_.begin(); entry != demands_.end();) {
        auto &[artifact, demand] = *entry;
        for (const Waiter &waiter : demand.waiters) {
            if (waiter.deadline > limit)
                continue;
            answer(artifact, waiter,
                   isPlatformReachable_
                       ? core::makeNotRunError(core::ErrorCode::NoReadyReplica,
                                               "the model was not loaded before the deadline",
                                               kRetryAfter)
                       : core::makeNotRunError(core::ErrorCode::PlatformUnavailable,
                                               "no model can be loaded during a platform outage",
                                               kRetryAfter));
        }
        std::erase_if(demand.waiters,
                      [limit](const Waiter &waiter) { return waiter.deadline <= limit; });
        if (demand.waiters.empty() && demand.neededUntil <= now_)
            entry = demands_.erase(entry);
        else
            ++entry;
    }
}

core::TimePoint LoadPlanner::nextTimer() const
{
    core::TimePoint next = now_ + kTickInterval;
    bool isLoadWaiting = false;
    for (const auto &[artifact, demand] : demands_) {
        for (const Waiter &waiter : demand.waiters)
            next = std::min(next, waiter.deadline - settings_.refusalMargin);
        isLoadWaiting = isLoadWaiting || (!artifact.isAdapter() && !isBeingLoaded(artifact));
    }
    const core::TimePoint nextLoad = limiter_.nextModelLoad(now_);
    if (isLoadWaiting && nextLoad > now_)
        next = std::min(next, nextLoad);
    return std::max(next, now_);
}

void LoadPlanner::on(const PlacementTick &event)
{
    if (now_ - lastTickAt_ >= kTickInterval) {
        lastTickAt_ = now_;
        forward(event);
        continueEvictions();
        unloadIdle();
        replaceEvacuated();
    }
    refuseExpired();
    isPlanningDue_ = true;
}

void LoadPlanner::on(const ReplicaUsed &event)
{
    const auto use = uses_.find({event.target, event.artifact});
    if (use == uses_.end())
        return;
    if (event.inFlight > 0 || use->second.inFlight.contains(event.node))
        use->second.lastRequest = now_;
    if (event.inFlight > 0)
        use->second.inFlight[event.node] = event.inFlight;
    else
        use->second.inFlight.erase(event.node);
    use->second.lastUsed = now_;
    if (!event.artifact.isAdapter())
        return;
    // A request for an adapter also uses its model.
    if (const auto base = uses_.find({event.target, event.artifact.base()}); base != uses_.end())
        base->second.lastUsed = now_;
}

void LoadPlanner::on(const NodeLeft &event)
{
    for (auto &[key, use] : uses_)
        use.inFlight.erase(event.node);
    for (auto &[artifact, demand] : demands_) {
        std::erase_if(demand.waiters,
                      [&event](const Waiter &each) { return each.node == event.node; });
    }
}

void LoadPlanner::on(const CatalogueAccepted &event)
{
    catalogue_.clear();
    for (const CatalogueEntry &entry : event.entries)
        catalogue_.emplace(entry.artifact, entry.memoryMiB);
    if (evacuated_ != event.evacuated) {
        evacuated_ = event.evacuated;
        applyEvacuations();
    }
    isPlanningDue_ = true;
}

void LoadPlanner::on(const PlatformReachable &event)
{
    isPlatformReachable_ = event.isReachable;
    isPlanningDue_ = true;
}

void LoadPlanner::on(const ReplicaDrained &event)
{
    const auto use = uses_.find({event.target, event.artifact});
    if (use == uses_.end() || !use->second.inFlight.empty())
        return;
    forward(event);
}

void LoadPlanner::on(const EngineReported &event)
{
    std::map<Artifact, CheckpointTier> tiers;
    for (const CachedCheckpoint &cached : event.report.cached) {
        const auto [tier, isNew] = tiers.try_emplace(cached.artifact, cached.tier);
        tier->second = std::min(tier->second, cached.tier);
    }
    cached_[event.target] = std::move(tiers);
    if (event.report.isLeaving)
        avoidedUntil_[event.target] = now_ + settings_.avoidAfterFailure;
    forward(event);
}

void LoadPlanner::on(const TargetListed &event)
{
    targets_.insert(event.target);
    dataCentres_.insert_or_assign(event.target, event.dataCentre);
    forward(event);
    forward(TargetEvacuated {event.target, isEvacuated(event.target)});
}

void LoadPlanner::on(const TargetRemoved &event)
{
    targets_.erase(event.target);
    dataCentres_.erase(event.target);
    cached_.erase(event.target);
    avoidedUntil_.erase(event.target);
    forward(event);
}

} // namespace boragerack::decisions
