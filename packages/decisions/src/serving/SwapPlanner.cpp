#include "boragerack/decisions/serving/SwapPlanner.h"

#include <algorithm>
#include <cmath>

namespace boragerack::decisions {

namespace {

/// Requests in flight on one replica above which a further one is loaded.
constexpr double kRequestsPerReplica = 10;
/// Time to unload a model without requests in flight.
constexpr std::chrono::milliseconds kUnloadTime(150);
constexpr std::chrono::milliseconds kIdleUnloadTime(60);
/// Added to the time of a load from memory or disk, which is known exactly.
constexpr std::chrono::milliseconds kLoadMargin(20);
/// Cost of one request a second that loses its last needed replica, in milliseconds of load time.
constexpr double kCostPerRate = 300;
/// Cost of one request in flight, which delays an unload.
constexpr double kCostPerRequest = 100;
/// Cost of each request in flight on a target, since a load shares it with them.
constexpr double kCostPerNeighbour = 10;
/// Cost of the replica used last, falling with the time since.
constexpr double kRecencyCost = 200;
/// A model is not unloaded for this long after its load, so that the requests that waited for it
/// reach it.
constexpr std::chrono::milliseconds kKeepAfterLoad(1000);
/// Loads from the weight store that run at once at full speed.
constexpr std::uint32_t kStoreLoadsAtOnce = 4;
/// Part of the store's rate that is used, and the most loads that may start together.
constexpr double kStoreRatePart = 0.8;
constexpr double kStoreBurst = 2;
/// A victim that costs more than this many milliseconds is worth more than a single request.
constexpr double kMaxVictimCost = 1500;
/// An adapter of some ten MB is loaded within this time.
constexpr std::chrono::milliseconds kAdapterLoadTime(20);

/// Requests wait for the model or run on it.
bool isWanted(const core::ModelId &model, const std::map<Artifact, FleetDemand> &demands)
{
    return std::ranges::any_of(demands,
                               [&](const auto &item) { return item.first.model == model; });
}

/// A decision looks at all targets, so with many targets there are fewer decisions.
constexpr std::chrono::microseconds kDecisionPausePerTarget(300);

bool contains(const std::vector<core::ModelId> &models, const core::ModelId &model)
{
    return std::ranges::find(models, model) != models.end();
}

} // namespace

SwapPlanner::SwapPlanner(std::shared_ptr<const TargetOrderBinding> chart)
    : chart_(std::move(chart))
{
}

std::vector<swap::Action> SwapPlanner::handle(const swap::Event &event, core::TimePoint now)
{
    std::visit([&](const auto &concrete) { on(concrete, now); }, event);
    Actions actions;
    for (auto &[id, target] : targets_)
        target.orders.tick(now);
    if (mayOrder_) {
        if (now >= nextDecision_) {
            nextDecision_ = now + kDecisionPausePerTarget * targets_.size();
            decide(now, actions);
        }
        for (auto &[id, target] : targets_) {
            if (auto question = target.orders.nextQuestion(now))
                actions.emplace_back(std::move(*question));
        }
    }
    publish();
    return actions;
}

void SwapPlanner::on(const swap::TargetsChanged &event, core::TimePoint now)
{
    std::erase_if(targets_, [&](const auto &item) { return !event.entries->contains(item.first); });
    for (const auto &[id, entry] : *event.entries) {
        if (!figures_.contains(entry.service))
            continue;
        const auto position = targets_.find(id);
        if (position != targets_.end() && position->second.orders.updateEntry(entry, now))
            continue;
        targets_.insert_or_assign(id, Target {TargetOrders(chart_, entry, now), {}, 0, 0});
    }
}

void SwapPlanner::on(const swap::ServicesChanged &event, core::TimePoint)
{
    figures_.clear();
    for (const ServingService &service : event.services) {
        if (service.engine)
            figures_[service.service] = *service.engine;
    }
}

void SwapPlanner::on(const swap::DemandReported &event, core::TimePoint now)
{
    book_.report(event.node, event.demands, event.uses, now);
}

void SwapPlanner::on(const swap::NodeLeft &event, core::TimePoint)
{
    book_.removeNode(event.node);
}

void SwapPlanner::on(const swap::OrderAnswered &event, core::TimePoint now)
{
    const auto position = targets_.find(event.target);
    if (position == targets_.end())
        return;
    TargetOrders &orders = position->second.orders;
    if (orders.pending() && orders.pending()->order.order == event.order)
        orders.answer(event.outcome, now);
}

void SwapPlanner::on(const swap::ReportArrived &event, core::TimePoint now)
{
    if (const auto position = targets_.find(event.target); position != targets_.end())
        position->second.orders.report(event.report, now);
}

void SwapPlanner::on(const swap::OrdersAllowed &event, core::TimePoint)
{
    mayOrder_ = event.isAllowed;
}

void SwapPlanner::on(const swap::Tick &, core::TimePoint) { }

void SwapPlanner::decide(core::TimePoint now, Actions &actions)
{
    const auto demands = book_.demands(now);
    for (auto &[id, target] : targets_) {
        // The requests for which room was made have gone.
        if (target.reservedFor
            && (!isWanted(*target.reservedFor, demands) || target.orders.entry().isLeaving))
            target.reservedFor.reset();
    }
    for (const auto &[artifact, demand] : demands) {
        if (artifact.isAdapter() && demand.waiting > 0)
            placeAdapter(artifact, demand.service, now, actions);
    }
    std::vector<Need> needs = modelNeeds(demands);
    // Requests that can still be answered in time go first, those with the least time left at the
    // head; replicas that only add capacity go last.
    std::ranges::sort(needs, {}, [](const Need &need) {
        const bool isLate = need.timeToAim < std::chrono::milliseconds(0);
        return std::tuple(need.isFurther, isLate, -static_cast<int>(need.waiting), need.timeToAim);
    });
    for (const Need &need : needs)
        placeModel(need, now, actions);
}

std::vector<SwapPlanner::Need>
SwapPlanner::modelNeeds(const std::map<Artifact, FleetDemand> &demands) const
{
    std::map<core::ModelId, FleetDemand> totals;
    for (const auto &[artifact, demand] : demands) {
        FleetDemand &total = totals[artifact.model];
        if (demand.waiting > 0
            && (total.waiting == 0
                || demand.aim - demand.oldestWait < total.aim - total.oldestWait)) {
            total.aim = demand.aim;
            total.oldestWait = demand.oldestWait;
        }
        if (demand.waiting > 0)
            total.service = demand.service;
        total.waiting += demand.waiting;
        total.inFlight += demand.inFlight;
    }
    std::vector<Need> needs;
    for (const auto &[model, demand] : totals) {
        if (isBeingPlaced(model))
            continue;
        const std::uint32_t ready = readyReplicas(model);
        if (ready == 0 && demand.waiting > 0) {
            needs.push_back(
                {demand.service, model, demand.waiting, demand.aim - demand.oldestWait, false});
        } else if (ready > 0 && demand.inFlight > kRequestsPerReplica * ready) {
            for (const auto &[id, target] : targets_) {
                if (target.orders.serves(model)) {
                    needs.push_back({target.orders.entry().service, model, demand.inFlight,
                                     std::chrono::milliseconds(0), true});
                    break;
                }
            }
        }
    }
    // A target that has made room is kept going even though its model counts as being placed.
    for (const auto &[id, target] : targets_) {
        if (target.reservedFor && !target.orders.pending()) {
            needs.push_back({target.orders.entry().service, *target.reservedFor, 1,
                             std::chrono::milliseconds(0), false});
        }
    }
    return needs;
}

void SwapPlanner::placeModel(const Need &need, core::TimePoint now, Actions &actions)
{
    std::optional<Option> best;
    for (auto &[id, target] : targets_) {
        const bool isReserved = target.reservedFor == need.model;
        if (target.reservedFor && !isReserved)
            continue;
        auto option = makeOption(target, need, now);
        if (!option)
            continue;
        if (isReserved) {
            best = std::move(option);
            break;
        }
        if (!best || option->cost < best->cost)
            best = std::move(option);
    }
    if (best)
        follow(*best, need, actions);
}

std::optional<SwapPlanner::Option> SwapPlanner::makeOption(Target &target, const Need &need,
                                                           core::TimePoint now)
{
    const TargetEntry &entry = target.orders.entry();
    if (entry.service != need.service || entry.isLeaving || !target.orders.isIdle(now)
        || target.orders.holdings().contains(need.model))
        return std::nullopt;
    const EngineFigures *engine = figuresOf(need.service);
    const ModelFigures *model = figuresOf(need.service, need.model);
    if (!engine || !model)
        return std::nullopt;

    Option option;
    option.target = &target;
    if (contains(entry.inMemory, need.model)) {
        option.loadTime = model->loadFromMemory;
    } else if (contains(entry.onDisk, need.model)) {
        option.loadTime = model->loadFromDisk;
    } else {
        if (isAtHandElsewhere(need.service, need.model) || !mayLoadFromStore(now))
            return std::nullopt;
        option.loadTime = model->loadFromStore;
        option.isFromStore = true;
    }
    option.cost = static_cast<double>(option.loadTime.count())
        + kCostPerNeighbour * book_.inFlight(entry.target);

    const std::uint64_t used = usedMb(target);
    const std::uint64_t free = engine->weightsMb > used ? engine->weightsMb - used : 0;
    if (model->weightsMb > free && !addVictims(option, need, model->weightsMb - free, now))
        return std::nullopt;
    return option;
}

bool SwapPlanner::addVictims(Option &option, const Need &need, std::uint64_t missingMb,
                             core::TimePoint now)
{
    const Target &target = *option.target;
    std::vector<std::pair<double, core::ModelId>> candidates;
    for (const auto &[model, holding] : target.orders.holdings()) {
        if (now - holding.since >= kKeepAfterLoad || book_.lastUse(model) == core::TimePoint())
            candidates.emplace_back(evictionCost(target, model, now), model);
    }
    std::ranges::sort(candidates);
    std::uint64_t freed = 0;
    for (const auto &[cost, model] : candidates) {
        if (freed >= missingMb)
            break;
        if (cost > (need.isFurther ? kRecencyCost : kMaxVictimCost))
            return false;
        const ModelFigures *figures = figuresOf(need.service, model);
        freed += figures ? figures->weightsMb : 0;
        option.cost += cost + static_cast<double>(kUnloadTime.count());
        option.victims.push_back(model);
    }
    return freed >= missingMb;
}

double SwapPlanner::evictionCost(const Target &target, const core::ModelId &model,
                                 core::TimePoint now) const
{
    const double inFlight = book_.inFlight(target.orders.entry().target, model);
    const std::uint32_t replicas = readyReplicas(model);
    const double rate = book_.rate(model, now);
    double total = 0;
    for (const auto &[id, other] : targets_)
        total += book_.inFlight(id, model);
    const double needed = std::ceil(total / kRequestsPerReplica * 1.5);
    const double idleSeconds = std::chrono::duration<double>(now - book_.lastUse(model)).count();
    double cost = inFlight * kCostPerRequest + kRecencyCost / (1 + idleSeconds);
    if (replicas <= std::max(1.0, needed))
        cost += rate * kCostPerRate;
    return cost;
}

void SwapPlanner::follow(const Option &option, const Need &need, Actions &actions)
{
    Target &target = *option.target;
    if (!option.victims.empty()) {
        target.reservedFor = need.model;
        const core::ModelId &victim = option.victims.front();
        // An unload waits for the requests that run; without any it takes effect at once.
        const bool isIdle = book_.inFlight(target.orders.entry().target, victim) == 0;
        actions.emplace_back(makeOrder(
            target, swap::OrderKind::Unload, {victim, {}, {}},
            {.duration = isIdle ? kIdleUnloadTime : kUnloadTime, .isDurationCertain = isIdle}));
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

void SwapPlanner::placeAdapter(const Artifact &artifact, const core::ServiceId &service,
                               core::TimePoint now, Actions &actions)
{
    const EngineFigures *engine = figuresOf(service);
    if (!engine)
        return;
    Target *best = nullptr;
    for (auto &[id, target] : targets_) {
        if (target.orders.pending() && target.orders.pending()->order.artifact == artifact)
            return;
        if (!target.orders.serves(artifact.model) || target.orders.entry().isLeaving)
            continue;
        if (target.orders.servesAdapter(artifact))
            return;
        if (!target.orders.isIdle(now) || target.reservedFor)
            continue;
        if (!best || usedAdapterPlaces(target) < usedAdapterPlaces(*best))
            best = &target;
    }
    if (!best)
        return;
    if (usedAdapterPlaces(*best) < engine->adapterPlaces) {
        actions.emplace_back(makeOrder(*best, swap::OrderKind::Load, artifact,
                                       {.duration = kAdapterLoadTime, .isDurationCertain = true}));
        return;
    }
    // Any adapter that no request uses makes way.
    const auto demands = book_.demands(now);
    for (const auto &[model, holding] : best->orders.holdings()) {
        for (const core::AdapterId &adapter : holding.adapters) {
            const Artifact victim {model, {}, adapter};
            if (demands.contains(victim))
                continue;
            actions.emplace_back(
                makeOrder(*best, swap::OrderKind::Unload, victim,
                          {.duration = kAdapterLoadTime, .isDurationCertain = true}));
            return;
        }
    }
}

swap::SendOrder SwapPlanner::makeOrder(Target &target, swap::OrderKind kind,
                                       const Artifact &artifact, PendingOrder pending)
{
    const TargetEntry &entry = target.orders.entry();
    pending.order = {nextOrder_++, entry.target, entry.address, kind, artifact, 0};
    return target.orders.begin(std::move(pending));
}

void SwapPlanner::publish()
{
    bool isChanged = false;
    for (auto &[id, target] : targets_) {
        if (target.publishedChanges == target.orders.changes())
            continue;
        target.publishedChanges = target.orders.changes();
        target.publishedVersion = version_ + 1;
        isChanged = true;
    }
    if (isChanged)
        ++version_;
}

std::vector<TargetPlacement> SwapPlanner::placementsSince(std::uint64_t version) const
{
    std::vector<TargetPlacement> placements;
    for (const auto &[id, target] : targets_) {
        if (target.publishedVersion > version) {
            placements.push_back(
                {id, target.orders.entry().startedAt, target.orders.servedArtifacts()});
        }
    }
    return placements;
}

const EngineFigures *SwapPlanner::figuresOf(const core::ServiceId &service) const
{
    const auto position = figures_.find(service);
    return position == figures_.end() ? nullptr : &position->second;
}

const ModelFigures *SwapPlanner::figuresOf(const core::ServiceId &service,
                                           const core::ModelId &model) const
{
    const EngineFigures *engine = figuresOf(service);
    if (!engine)
        return nullptr;
    const auto position = std::ranges::find(engine->models, model, &ModelFigures::model);
    return position == engine->models.end() ? nullptr : &*position;
}

std::uint64_t SwapPlanner::usedMb(const Target &target) const
{
    const core::ServiceId &service = target.orders.entry().service;
    std::uint64_t used = 0;
    for (const auto &[model, holding] : target.orders.holdings()) {
        if (const ModelFigures *figures = figuresOf(service, model))
            used += figures->weightsMb + figures->adapterMb * holding.adapters.size();
    }
    if (const auto &pending = target.orders.pending();
        pending && pending->order.kind == swap::OrderKind::Load) {
        if (const ModelFigures *figures = figuresOf(service, pending->order.artifact.model))
            used += pending->order.artifact.isAdapter() ? figures->adapterMb : figures->weightsMb;
    }
    return used;
}

std::uint32_t SwapPlanner::usedAdapterPlaces(const Target &target) const
{
    std::size_t used = 0;
    for (const auto &[model, holding] : target.orders.holdings())
        used += holding.adapters.size();
    return static_cast<std::uint32_t>(used);
}

std::uint32_t SwapPlanner::readyReplicas(const core::ModelId &model) const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(targets_, [&](const auto &item) {
        return item.second.orders.serves(model) && !item.second.orders.entry().isLeaving;
    }));
}

bool SwapPlanner::isBeingPlaced(const core::ModelId &model) const
{
    return std::ranges::any_of(targets_, [&](const auto &item) {
        return item.second.reservedFor == model || item.second.orders.isLoading(model);
    });
}

bool SwapPlanner::isAtHandElsewhere(const core::ServiceId &service,
                                    const core::ModelId &model) const
{
    return std::ranges::any_of(targets_, [&](const auto &item) {
        const TargetEntry &entry = item.second.orders.entry();
        return entry.service == service && !entry.isLeaving
            && (contains(entry.inMemory, model) || contains(entry.onDisk, model));
    });
}

std::uint32_t SwapPlanner::storeLoads() const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(targets_, [](const auto &item) {
        const auto &pending = item.second.orders.pending();
        return pending && pending->isFromStore;
    }));
}

bool SwapPlanner::mayLoadFromStore(core::TimePoint now)
{
    double rate = 0;
    for (const auto &[service, engine] : figures_)
        rate = std::max(rate, engine.storeLoadsPerSecond);
    // A new coordinator does not know the loads of its predecessor, so it begins without any.
    if (storeTokensAt_ != core::TimePoint()) {
        const double seconds = std::chrono::duration<double>(now - storeTokensAt_).count();
        storeTokens_ = std::min(kStoreBurst, storeTokens_ + rate * kStoreRatePart * seconds);
    }
    storeTokensAt_ = now;
    return storeTokens_ >= 1 && storeLoads() < kStoreLoadsAtOnce;
}

} // namespace boragerack::decisions
