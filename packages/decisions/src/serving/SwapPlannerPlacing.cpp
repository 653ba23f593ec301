#include <algorithm>
#include <cmath>
#include <tuple>

#include "boragerack/decisions/serving/SwapPlanner.h"

namespace boragerack::decisions {

namespace {

/// Time to unload a model with requests in flight, and one without.
constexpr std::chrono::milliseconds kUnloadTime(150);
constexpr std::chrono::milliseconds kIdleUnloadTime(60);
/// Added to the duration of a load, which is known exactly for loads from memory or disk.
constexpr std::chrono::milliseconds kLoadMargin(20);
/// Load time of an adapter, whose size is some ten MB.
constexpr std::chrono::milliseconds kAdapterLoadTime(20);
/// Maximum number of adapters of a target that are being unloaded; an unload that has to wait for
/// requests must not cause more and more evictions.
constexpr std::size_t kMaxUnloadingAdapters = 2;
/// A model is not unloaded for this long after its load, so that the requests that waited for it
/// can be sent to it.
constexpr std::chrono::milliseconds kMinResidency(1000);

// Costs are in milliseconds of load time.

/// Per request per second to the model, if the replica is needed for its load.
constexpr double kCostPerRequestRate = 300;
/// Per request in flight on the model, which delays the unload.
constexpr double kCostPerRequest = 100;
/// Per request in flight on the target, because the load competes with them.
constexpr double kCostPerConcurrentRequest = 10;
/// For a model used just now; decreases with the time since its last use.
constexpr double kRecencyCost = 200;
/// For a target with a limited rate, which is used only if no other one has a place.
constexpr double kLimitedTargetCost = 5000;
/// A model with a higher eviction cost is not evicted: it is worth more than a single request.
constexpr double kMaxVictimCost = 1500;

/// Highest eviction cost that an additional replica is worth: idle models yield to it, and others
/// if requests queue at the existing replicas.
double maxVictimCost(std::uint32_t queued)
{
    return std::min(kMaxVictimCost, kRecencyCost + kCostPerRequest * queued);
}

/// Replicas needed for the requests in flight are multiplied by this, as a reserve.
constexpr double kReplicaHeadroom = 1.5;

} // namespace

void SwapPlanner::placeModel(const Need &need, Survey &survey, core::TimePoint now,
                             Actions &actions)
{
    const bool mayUseStore =
        !isCachedOnTarget(need) && isWorthStoreLoad(need) && mayLoadFromStore(now);
    auto best = chooseOption(need, mayUseStore, survey, now);
    // If the targets with a copy have no room, requests would queue for longer than a load takes.
    if (!best && need.isAdditional && need.queued > 0 && !mayUseStore && mayLoadFromStore(now))
        best = chooseOption(need, true, survey, now);
    if (best)
        applyOption(*best, need, survey, actions);
}

bool SwapPlanner::isWorthStoreLoad(const Need &need) const
{
    // A target is blocked for the whole load, and evicts other models for it.
    const ModelFigures *model = figuresOf(need.service, need.model);
    return !need.hasLimitedReplicas || !model
        || std::chrono::duration<double>(need.limitedSeconds) > model->loadFromStore;
}

std::optional<SwapPlanner::Option> SwapPlanner::chooseOption(const Need &need, bool mayUseStore,
                                                             const Survey &survey,
                                                             core::TimePoint now)
{
    std::optional<Option> best;
    for (Target *target : survey.freeTargets) {
        const bool isReserved = target->reservedFor == need.model;
        if (target->reservedFor && !isReserved)
            continue;
        auto option = makeOption(*target, need, mayUseStore, survey, now);
        if (!option)
            continue;
        if (isReserved)
            return option;
        if (!best || option->cost < best->cost)
            best = std::move(option);
    }
    return best;
}

std::optional<SwapPlanner::Option> SwapPlanner::makeOption(Target &target, const Need &need,
                                                           bool mayUseStore, const Survey &survey,
                                                           core::TimePoint now)
{
    const TargetEntry &entry = target.tracker.entry();
    if (entry.service != need.service || target.tracker.holdings().contains(need.model))
        return std::nullopt;
    const bool isLimited = rateOf(target).has_value();
    if (isLimited && need.needsUnlimitedTarget())
        return std::nullopt;
    const Engine *engine = engineOf(need.service);
    const ModelFigures *model = figuresOf(need.service, need.model);
    if (!engine || !model)
        return std::nullopt;

    Option option;
    option.target = &target;
    if (entry.hasInMemory(need.model)) {
        option.loadTime = model->loadFromMemory;
    } else if (entry.hasOnDisk(need.model)) {
        option.loadTime = model->loadFromDisk;
    } else {
        if (!mayUseStore)
            return std::nullopt;
        option.loadTime = model->loadFromStore;
        option.isFromStore = true;
    }
    option.cost = static_cast<double>(option.loadTime.count())
        + kCostPerConcurrentRequest * demandTracker_.inFlight(entry.target)
        + (isLimited ? kLimitedTargetCost : 0);

    const std::uint64_t used = usedMb(target);
    const std::uint64_t free =
        engine->figures.weightsMb > used ? engine->figures.weightsMb - used : 0;
    if (model->weightsMb > free && !addVictims(option, need, model->weightsMb - free, survey, now))
        return std::nullopt;
    return option;
}

bool SwapPlanner::addVictims(Option &option, const Need &need, std::uint64_t missingMb,
                             const Survey &survey, core::TimePoint now)
{
    const Target &target = *option.target;
    std::vector<std::pair<double, core::ModelId>> candidates;
    for (const auto &[model, holding] : target.tracker.holdings()) {
        const bool isRecent = now - holding.since < kMinResidency
            && demandTracker_.lastUse(model) != core::TimePoint();
        if (!isRecent && model != need.model)
            candidates.emplace_back(evictionCost(target, model, survey, now), model);
    }
    std::ranges::sort(candidates);
    std::uint64_t freed = 0;
    for (const auto &[cost, model] : candidates) {
        if (freed >= missingMb)
            break;
        const bool yieldsToUsed = need.needsUnlimitedTarget() || need.isAnticipated;
        if (cost > (yieldsToUsed ? maxVictimCost(need.queued) : kMaxVictimCost))
            return false;
        const ModelFigures *figures = figuresOf(need.service, model);
        freed += figures ? figures->weightsMb : 0;
        option.cost += cost + static_cast<double>(kUnloadTime.count());
        option.victims.push_back(model);
    }
    return freed >= missingMb;
}

double SwapPlanner::evictionCost(const Target &target, const core::ModelId &model,
                                 const Survey &survey, core::TimePoint now) const
{
    const double inFlight = demandTracker_.inFlight(target.tracker.entry().target, model);
    const auto seen = survey.models.find(model);
    const std::uint32_t replicas = seen == survey.models.end() ? 0 : seen->second.ready;
    const double rate = demandTracker_.rate(model, now);
    const double needed =
        std::ceil(demandTracker_.inFlight(model) / kRequestsPerReplica * kReplicaHeadroom);
    const double idleSeconds =
        std::chrono::duration<double>(now - demandTracker_.lastUse(model)).count();
    double cost = inFlight * kCostPerRequest + kRecencyCost / (1 + idleSeconds);
    if (replicas <= std::max(1.0, needed))
        cost += rate * kCostPerRequestRate;
    return cost;
}

void SwapPlanner::applyOption(const Option &option, const Need &need, Survey &survey,
                              Actions &actions)
{
    Target &target = *option.target;
    std::erase(survey.freeTargets, &target);
    ++survey.openOrders;
    if (!option.victims.empty()) {
        target.reservedFor = need.model;
        const core::ModelId &victim = option.victims.front();
        if (const auto seen = survey.models.find(victim);
            seen != survey.models.end() && seen->second.ready > 0)
            --seen->second.ready;
        evictModel(target, victim, actions);
        return;
    }
    target.reservedFor.reset();
    if (option.isFromStore)
        storeTokens_ -= 1;
    actions.emplace_back(makeOrder(target, swap::OrderKind::Load, {need.model, {}, {}},
                                   {.duration = option.loadTime + kLoadMargin,
                                    .isFromStore = option.isFromStore,
                                    .isDurationCertain = !option.isFromStore}));
}

void SwapPlanner::evictModel(Target &target, const core::ModelId &victim, Actions &actions)
{
    // An unload waits for requests in flight; without any it starts at once.
    const bool isIdle = demandTracker_.inFlight(target.tracker.entry().target, victim) == 0;
    actions.emplace_back(makeOrder(
        target, swap::OrderKind::Unload, {victim, {}, {}},
        {.duration = isIdle ? kIdleUnloadTime : kUnloadTime, .isDurationCertain = isIdle}));
}

void SwapPlanner::placeAdapters(const std::map<Artifact, FleetDemand> &demands, core::TimePoint now,
                                Actions &actions)
{
    AdapterSurvey survey;
    for (auto &[id, target] : targets_) {
        if (!target.tracker.entry().acceptsWork())
            continue;
        for (const auto &[model, holding] : target.tracker.holdings()) {
            if (target.tracker.serves(model))
                survey.replicas[model].push_back(&target);
        }
    }
    for (const auto &[artifact, demand] : demands) {
        if (artifact.isAdapter() && demand.waiting > 0)
            placeAdapter(artifact, survey, demands, now, actions);
    }
}

void SwapPlanner::placeAdapter(const Artifact &artifact, AdapterSurvey &survey,
                               const std::map<Artifact, FleetDemand> &demands, core::TimePoint now,
                               Actions &actions)
{
    struct Candidate
    {
        Target *target;
        bool isLimited;
        bool hasRoom;
        std::uint32_t usedSlots;
    };
    std::vector<Candidate> candidates;
    bool isServed = false;
    for (Target *target : survey.replicas[artifact.model]) {
        const TargetTracker &tracker = target->tracker;
        if (tracker.pending() && tracker.pending()->order.artifact == artifact)
            return;
        const bool isLimited = rateOf(*target).has_value();
        if (tracker.servesAdapter(artifact)) {
            if (!isLimited)
                return;
            isServed = true;
            continue;
        }
        // A target does not check for free memory before it loads an adapter, so the memory that an
        // assumed unload would free must not be used.
        if (!tracker.isIdle(now) || target->reservedFor || tracker.isUnloadAssumed()
            || tracker.isUnloading(artifact))
            continue;
        candidates.push_back(
            {target, isLimited, hasRoomFor(artifact, *target), usedAdapterSlots(*target)});
    }
    // Another target with a limited rate would not help the requests that wait for one.
    if (isServed)
        std::erase_if(candidates, &Candidate::isLimited);
    std::ranges::stable_sort(candidates, {}, [](const Candidate &candidate) {
        return std::tuple(candidate.isLimited, !candidate.hasRoom, candidate.usedSlots);
    });
    for (const Candidate &candidate : candidates) {
        Target &target = *candidate.target;
        if (candidate.hasRoom) {
            actions.emplace_back(
                makeOrder(target, swap::OrderKind::Load, artifact,
                          {.duration = kAdapterLoadTime, .isDurationCertain = true}));
            return;
        }
        if (survey.withoutVictim.contains(&target))
            continue;
        if (const auto victim = findAdapterVictim(target, demands)) {
            actions.emplace_back(makeOrder(target, swap::OrderKind::Unload, *victim, {}));
            return;
        }
        survey.withoutVictim.insert(&target);
    }
    if (!candidates.empty())
        makeRoomFor(artifact, *candidates.front().target, now, actions);
}

bool SwapPlanner::hasRoomFor(const Artifact &adapter, const Target &target) const
{
    const core::ServiceId &service = target.tracker.entry().service;
    const Engine *engine = engineOf(service);
    const ModelFigures *model = figuresOf(service, adapter.model);
    return engine && model && usedAdapterSlots(target) < engine->figures.adapterSlots
        && usedMb(target) + model->adapterMb <= engine->figures.weightsMb;
}

void SwapPlanner::makeRoomFor(const Artifact &adapter, Target &target, core::TimePoint now,
                              Actions &actions)
{
    target.tracker.requestProof();
    const core::ServiceId &service = target.tracker.entry().service;
    const Engine *engine = engineOf(service);
    const ModelFigures *model = figuresOf(service, adapter.model);
    if (!engine || !model || usedAdapterSlots(target) >= engine->figures.adapterSlots)
        return;
    const std::uint64_t missing = usedMb(target) + model->adapterMb - engine->figures.weightsMb;
    Option option;
    option.target = &target;
    if (addVictims(option, {.service = service, .model = adapter.model}, missing, survey(now), now))
        evictModel(target, option.victims.front(), actions);
}

std::optional<Artifact>
SwapPlanner::findAdapterVictim(const Target &target,
                               const std::map<Artifact, FleetDemand> &demands) const
{
    if (target.tracker.unloadingAdapters() >= kMaxUnloadingAdapters)
        return std::nullopt;
    std::optional<Artifact> possiblyUsed;
    for (const auto &[model, holding] : target.tracker.holdings()) {
        for (const core::AdapterId &adapter : holding.adapters) {
            const Artifact victim {model, {}, adapter};
            if (demands.contains(victim) || !target.tracker.servesAdapter(victim)
                || target.tracker.isArriving(victim))
                continue;
            if (!demandTracker_.isPossiblyInUse(target.tracker.entry().target, victim))
                return victim;
            possiblyUsed = victim;
        }
    }
    return possiblyUsed;
}

swap::SendOrder SwapPlanner::makeOrder(Target &target, swap::OrderKind kind,
                                       const Artifact &artifact, PendingOrder pending)
{
    const TargetEntry &entry = target.tracker.entry();
    pending.order = {nextOrder_++, entry.target, entry.address, kind, artifact, 0};
    return target.tracker.begin(std::move(pending));
}

} // namespace boragerack::decisions
