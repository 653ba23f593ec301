#include "boragerack/decisions/serving/SwapPlanner.h"

#include <algorithm>

namespace boragerack::decisions {

namespace {

/// Maximum number of concurrent loads from the weight store; more would slow each other down.
constexpr std::uint32_t kMaxConcurrentStoreLoads = 4;
/// Fraction of the store's load rate that is used, and the maximum burst of loads.
constexpr double kStoreRateFraction = 0.8;
constexpr double kMaxStoreBurst = 2;
/// Minimum interval between decisions, per target: a decision iterates over all targets.
constexpr std::chrono::microseconds kDecisionIntervalPerTarget(300);

/// Maximum number of concurrent report requests. A new coordinator requests a report from every
/// target, and on a slow machine too many concurrent responses arrive after the time-out.
constexpr std::size_t kMaxOpenReportRequests = 8;
/// Maximum number of orders without a response, for the same reason.
constexpr std::size_t kMaxOpenOrders = 24;

/// Models that were requested within this time before an evacuation are loaded in other data
/// centres before the next request for them.
constexpr std::chrono::milliseconds kAnticipatedUse(10000);

/// Interval between choices of the replicas that read long prompts. Nodes report this often at
/// most.
constexpr std::chrono::milliseconds kLongPromptInterval(100);

/// Whether requests wait for the model or are in flight on it.
bool isWanted(const core::ModelId &model, const std::map<Artifact, FleetDemand> &demands)
{
    return std::ranges::any_of(demands,
                               [&](const auto &item) { return item.first.model == model; });
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
        target.tracker.tick(now);
    if (mayOrder_) {
        if (now >= nextDecision_) {
            nextDecision_ = now + kDecisionIntervalPerTarget * targets_.size();
            decide(now, actions);
        }
        requestReports(now, actions);
    }
    if (now >= nextLongPromptChoice_) {
        nextLongPromptChoice_ = now + kLongPromptInterval;
        chooseLongPromptTargets(now);
    }
    publish();
    return actions;
}

void SwapPlanner::on(const swap::TargetsChanged &event, core::TimePoint now)
{
    // A target that left is replaced at once.
    nextLongPromptChoice_ = now;
    std::erase_if(targets_, [&](const auto &item) { return !event.entries->contains(item.first); });
    for (const auto &[id, entry] : *event.entries) {
        if (!engines_.contains(entry.service))
            continue;
        const auto position = targets_.find(id);
        if (position != targets_.end() && position->second.tracker.updateEntry(entry, now))
            continue;
        targets_.insert_or_assign(id, Target {TargetTracker(chart_, entry, now), {}, {}, 0, 0, 0});
    }
}

void SwapPlanner::on(const swap::ServicesChanged &event, core::TimePoint)
{
    engines_.clear();
    for (const ServingService &service : event.services) {
        if (!service.engine)
            continue;
        Engine &engine = engines_[service.service];
        engine.figures = *service.engine;
        for (const ModelFigures &model : service.engine->models)
            engine.models.emplace(model.model, model);
    }
}

void SwapPlanner::on(const swap::DemandReported &event, core::TimePoint now)
{
    for (const core::InstanceId &child : event.children)
        demandTracker_.removeNode(child);
    demandTracker_.report(event.node, event.demands, event.uses, now);
}

void SwapPlanner::on(const swap::NodeLeft &event, core::TimePoint now)
{
    demandTracker_.suspendNode(event.node, now);
}

void SwapPlanner::on(const swap::OrderAnswered &event, core::TimePoint now)
{
    const auto position = targets_.find(event.target);
    if (position == targets_.end())
        return;
    TargetTracker &tracker = position->second.tracker;
    if (tracker.pending() && tracker.pending()->order.order == event.order)
        tracker.answer(event.outcome, now);
}

void SwapPlanner::on(const swap::TargetReportReceived &event, core::TimePoint now)
{
    if (const auto position = targets_.find(event.target); position != targets_.end())
        position->second.tracker.report(event.report, now);
}

void SwapPlanner::on(const swap::RatesChanged &event, core::TimePoint)
{
    rates_.clear();
    for (const TargetRate &rate : event.rates)
        rates_[{rate.target, rate.startedAt}] = rate.requestsPerSecond;
}

void SwapPlanner::on(const swap::OrdersAllowed &event, core::TimePoint)
{
    mayOrder_ = event.isAllowed;
}

void SwapPlanner::on(const swap::Tick &, core::TimePoint) { }

void SwapPlanner::requestReports(core::TimePoint now, Actions &actions)
{
    auto open = static_cast<std::size_t>(std::ranges::count_if(
        targets_, [](const auto &item) { return item.second.tracker.isReportPending(); }));
    // Continue after the target of the last request, so that unresponsive targets do not starve the
    // others.
    auto position = targets_.lower_bound(nextReportTarget_);
    for (std::size_t i = 0; i < targets_.size() && open < kMaxOpenReportRequests; ++i, ++position) {
        if (position == targets_.end())
            position = targets_.begin();
        if (auto request = position->second.tracker.nextReportRequest(now)) {
            actions.emplace_back(std::move(*request));
            nextReportTarget_ = position->first;
            ++open;
        }
    }
}

void SwapPlanner::decide(core::TimePoint now, Actions &actions)
{
    demandTracker_.dropExpired(now);
    const auto demands = demandTracker_.demands(now);
    for (auto &[id, target] : targets_) {
        // The requests for which the target was reserved are gone, or the target is leaving.
        if (target.reservedFor
            && (!isWanted(*target.reservedFor, demands) || !target.tracker.entry().acceptsWork()))
            target.reservedFor.reset();
    }
    placeAdapters(demands, now, actions);
    Survey currentSurvey = survey(now);
    std::vector<Need> needs = modelNeeds(demands, currentSurvey);
    addEvacuatedModels(needs, demands, currentSurvey, now);
    // Needs whose target latency can still be met go before late ones, then by the number of
    // waiting requests, then by the time left; replicas that only add capacity go last.
    std::ranges::sort(needs, {}, [](const Need &need) {
        const bool isLate = need.timeLeft < std::chrono::milliseconds(0);
        return std::tuple(need.isAdditional, need.isAnticipated, isLate,
                          -static_cast<int>(need.waiting), need.timeLeft);
    });
    for (const Need &need : needs) {
        if (currentSurvey.openOrders >= kMaxOpenOrders)
            break;
        placeModel(need, currentSurvey, now, actions);
    }
}

SwapPlanner::Survey SwapPlanner::survey(core::TimePoint now)
{
    Survey result;
    for (auto &[id, target] : targets_) {
        const TargetEntry &entry = target.tracker.entry();
        result.openOrders += target.tracker.isOrderOpen() ? 1 : 0;
        if (target.reservedFor)
            result.models[*target.reservedFor].isBeingPlaced = true;
        // A load on an evacuated target serves no request.
        if (const auto &pending = target.tracker.pending(); pending && entry.acceptsWork()
            && target.tracker.isLoading(pending->order.artifact.model))
            result.models[pending->order.artifact.model].isBeingPlaced = true;
        for (const auto &[model, holding] : target.tracker.holdings()) {
            if (!target.tracker.serves(model))
                continue;
            if (entry.isEvacuated && !entry.isLeaving)
                result.evacuatedModels[model] = entry.service;
            if (!entry.acceptsWork())
                continue;
            Survey::Model &seen = result.models[model];
            seen.service = entry.service;
            if (rateOf(target))
                seen.limited.push_back(&target);
            else
                ++seen.ready;
        }
        if (entry.acceptsWork() && target.tracker.isIdle(now))
            result.freeTargets.push_back(&target);
    }
    return result;
}

std::vector<SwapPlanner::Need>
SwapPlanner::modelNeeds(const std::map<Artifact, FleetDemand> &demands, const Survey &survey) const
{
    std::map<core::ModelId, FleetDemand> totals;
    for (const auto &[artifact, demand] : demands) {
        FleetDemand &total = totals[artifact.model];
        if (demand.waiting > 0
            && (total.waiting == 0
                || demand.targetLatency - demand.oldestWait
                    < total.targetLatency - total.oldestWait)) {
            total.targetLatency = demand.targetLatency;
            total.oldestWait = demand.oldestWait;
        }
        if (demand.waiting > 0)
            total.service = demand.service;
        total.waiting += demand.waiting;
        // Requests that wait for room are sent as soon as a replica has a free slot. They need
        // another replica as much as those that a target queues.
        total.inFlight += demand.inFlight + demand.waitingForRoom;
    }
    std::vector<Need> needs;
    for (const auto &[model, demand] : totals) {
        const auto position = survey.models.find(model);
        const Survey::Model seen =
            position == survey.models.end() ? Survey::Model() : position->second;
        if (seen.isBeingPlaced)
            continue;
        if (seen.ready == 0 && demand.waiting > 0) {
            Need need {.service = demand.service,
                       .model = model,
                       .waiting = demand.waiting,
                       .timeLeft = demand.targetLatency - demand.oldestWait,
                       .queued = seen.limited.empty() ? 0 : demand.waiting,
                       .hasLimitedReplicas = !seen.limited.empty()};
            if (need.hasLimitedReplicas) {
                need.limitedSeconds = limitedSeconds(model, totals, survey);
                if (std::chrono::duration<double>(need.limitedSeconds) <= need.timeLeft)
                    continue;
            }
            needs.push_back(std::move(need));
        } else if (seen.ready > 0 && demand.inFlight > kRequestsPerReplica * seen.ready) {
            const Engine *engine = engineOf(seen.service);
            const std::uint32_t running = engine ? engine->figures.slots * seen.ready : 0;
            needs.push_back({.service = seen.service,
                             .model = model,
                             .waiting = demand.inFlight,
                             .isAdditional = true,
                             .queued = demand.inFlight - std::min(demand.inFlight, running)});
        }
    }
    // Continue the placement on a reserved target, although its model counts as being placed.
    for (const auto &[id, target] : targets_) {
        if (target.reservedFor && !target.tracker.pending()) {
            needs.push_back({.service = target.tracker.entry().service,
                             .model = *target.reservedFor,
                             .waiting = 1});
        }
    }
    return needs;
}

void SwapPlanner::addEvacuatedModels(std::vector<Need> &needs,
                                     const std::map<Artifact, FleetDemand> &demands,
                                     const Survey &survey, core::TimePoint now) const
{
    for (const auto &evacuated : survey.evacuatedModels) {
        const core::ModelId &model = evacuated.first;
        const auto seen = survey.models.find(model);
        if (seen != survey.models.end()
            && (seen->second.isBeingPlaced || seen->second.ready > 0
                || !seen->second.limited.empty()))
            continue;
        const bool isRequested = std::ranges::any_of(demands, [&](const auto &item) {
            return item.first.model == model && item.second.waiting > 0;
        });
        if (isRequested || demandTracker_.lastUse(model) == core::TimePoint()
            || now - demandTracker_.lastUse(model) > kAnticipatedUse)
            continue;
        needs.push_back({.service = evacuated.second, .model = model, .isAnticipated = true});
    }
}

std::optional<double> SwapPlanner::rateOf(const Target &target) const
{
    const auto position = rates_.find(target.tracker.entry().process());
    return position == rates_.end() ? std::nullopt : std::optional(position->second);
}

double SwapPlanner::limitedSeconds(const core::ModelId &model,
                                   const std::map<core::ModelId, FleetDemand> &totals,
                                   const Survey &survey) const
{
    const double waiting = totals.at(model).waiting;
    double requestsPerSecond = 0;
    for (const Target *target : survey.models.at(model).limited) {
        // Requests of other models that wait for the same target share its rate.
        double sharing = 0;
        for (const auto &[other, holding] : target->tracker.holdings()) {
            const auto position = totals.find(other);
            const auto seen = survey.models.find(other);
            if (position != totals.end() && seen != survey.models.end() && seen->second.ready == 0)
                sharing += position->second.waiting;
        }
        requestsPerSecond += *rateOf(*target) * waiting / std::max(sharing, 1.0);
    }
    return waiting / requestsPerSecond;
}

void SwapPlanner::publish()
{
    bool isChanged = false;
    for (auto &[id, target] : targets_) {
        const std::uint64_t changes = target.tracker.changes() + target.longPromptChanges;
        if (target.publishedChanges == changes)
            continue;
        target.publishedChanges = changes;
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
            placements.push_back({id, target.tracker.entry().startedAt,
                                  target.tracker.servedArtifacts(), target.longPromptModels});
        }
    }
    return placements;
}

const SwapPlanner::Engine *SwapPlanner::engineOf(const core::ServiceId &service) const
{
    const auto position = engines_.find(service);
    return position == engines_.end() ? nullptr : &position->second;
}

const ModelFigures *SwapPlanner::figuresOf(const core::ServiceId &service,
                                           const core::ModelId &model) const
{
    const Engine *engine = engineOf(service);
    if (!engine)
        return nullptr;
    const auto position = engine->models.find(model);
    return position == engine->models.end() ? nullptr : &position->second;
}

std::uint64_t SwapPlanner::usedMb(const Target &target) const
{
    const core::ServiceId &service = target.tracker.entry().service;
    std::uint64_t used = 0;
    for (const auto &[model, holding] : target.tracker.holdings()) {
        if (const ModelFigures *figures = figuresOf(service, model))
            used += figures->weightsMb + figures->adapterMb * holding.adapters.size();
    }
    if (const auto &pending = target.tracker.pending();
        pending && pending->order.kind == swap::OrderKind::Load) {
        if (const ModelFigures *figures = figuresOf(service, pending->order.artifact.model))
            used += pending->order.artifact.isAdapter() ? figures->adapterMb : figures->weightsMb;
    }
    return used;
}

std::uint32_t SwapPlanner::usedAdapterSlots(const Target &target) const
{
    std::size_t used = 0;
    for (const auto &[model, holding] : target.tracker.holdings())
        used += holding.adapters.size();
    return static_cast<std::uint32_t>(used);
}

bool SwapPlanner::isCachedOnTarget(const Need &need) const
{
    return std::ranges::any_of(targets_, [&](const auto &item) {
        const TargetEntry &entry = item.second.tracker.entry();
        return entry.service == need.service && entry.acceptsWork()
            && (entry.hasInMemory(need.model) || entry.hasOnDisk(need.model))
            && !(need.needsUnlimitedTarget() && rateOf(item.second));
    });
}

std::uint32_t SwapPlanner::storeLoads() const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(targets_, [](const auto &item) {
        const auto &pending = item.second.tracker.pending();
        return pending && pending->isFromStore;
    }));
}

bool SwapPlanner::mayLoadFromStore(core::TimePoint now)
{
    double rate = 0;
    for (const auto &[service, engine] : engines_)
        rate = std::max(rate, engine.figures.storeLoadsPerSecond);
    // A new coordinator does not know the loads started by its predecessor, so it starts without
    // tokens.
    if (storeTokensAt_ != core::TimePoint()) {
        const double seconds = std::chrono::duration<double>(now - storeTokensAt_).count();
        storeTokens_ = std::min(kMaxStoreBurst, storeTokens_ + rate * kStoreRateFraction * seconds);
    }
    storeTokensAt_ = now;
    return storeTokens_ >= 1 && storeLoads() < kMaxConcurrentStoreLoads;
}

} // namespace boragerack::decisions
