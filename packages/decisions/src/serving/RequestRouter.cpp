#include "boragerack/decisions/serving/RequestRouter.h"

#include <algorithm>
#include <utility>

#include "boragerack/core/RandomSource.h"
#include "boragerack/core/RendezvousHash.h"
#include "boragerack/decisions/ReplicaSelector.h"
#include "boragerack/decisions/serving/DeadlineOrder.h"
#include "boragerack/decisions/serving/PredictedTimeSelector.h"

namespace boragerack::decisions {

namespace {

/// A target that responded that it does not hold an artifact gets no requests for it for this time,
/// unless the coordinator sends a new placement for the target. Reports of targets lag by some
/// hundred milliseconds.
constexpr std::chrono::milliseconds kMissingArtifactTimeout(400);

/// A target that holds the prefix of a prompt is preferred as long as it has at most this many more
/// requests in flight than the least loaded one.
constexpr std::uint32_t kMaxPrefixExtraLoad = 3;

} // namespace

RequestRouter::RequestRouter(core::RandomSource &random)
    : random_(random)
    , selector_(std::make_unique<PowerOfTwoSelector>(random))
    , interactiveSelector_(std::make_unique<PredictedTimeSelector>(random))
    , queue_([] { return std::make_unique<DeadlineOrder>(); })
    , admission_(random)
    , entries_(std::make_shared<const TargetEntries>())
{
}

RequestRouter::~RequestRouter() = default;

std::vector<RequestRouter::Action> RequestRouter::handle(const Event &event, core::TimePoint now)
{
    std::vector<Action> actions;
    std::visit([&](const auto &concrete) { on(concrete, now, actions); }, event);
    return actions;
}

void RequestRouter::on(const routing::RouteRequested &event, core::TimePoint now,
                       std::vector<Action> &actions)
{
    const RouteRequirements &demand = event.requirements;
    if (demand.artifact && demand.avoid.empty()) {
        ArrivalCounter &counter = arrivals_[*demand.artifact];
        counter.service = demand.service;
        ++counter.arrived;
        if (isLongPrompt(demand))
            counter.longPromptTokens += LongPromptRouting::countedTokens(demand.work);
    }
    if (const TargetEntry *entry = choose(demand, now)) {
        grant(event.request, demand, *entry, now, actions);
        return;
    }
    wait(event.request, demand, now);
}

void RequestRouter::on(const routing::Withdrawn &event, core::TimePoint, std::vector<Action> &)
{
    waiting_.erase(event.request);
    queue_.remove(event.request);
}

void RequestRouter::on(const routing::Ended &event, core::TimePoint now,
                       std::vector<Action> &actions)
{
    longPrompts_.end(event.request);
    if (const auto held = heldPermits_.extract(event.request))
        rates_.giveBack(held.mapped(), now);
    if (const auto position = outstanding_.find(event.target);
        position != outstanding_.end() && --position->second == 0)
        outstanding_.erase(position);
    if (event.artifact) {
        const Key key(event.target, *event.artifact);
        if (const auto position = uses_.find(key);
            position != uses_.end() && --position->second == 0)
            uses_.erase(position);
        if (event.isMissing)
            missingUntil_[key] = now + kMissingArtifactTimeout;
    }
    if (!event.isMissing)
        outliers_.record(event.service, event.target, event.outcome, now);
    work_.end(event.request, event.firstPiece, event.outcome == AttemptOutcome::Succeeded, now);
    grantForTarget(event.target, now, actions);
}

void RequestRouter::on(const routing::TargetAdvised &event, core::TimePoint now,
                       std::vector<Action> &actions)
{
    const bool isNewlyClosed = closures_.record(event.process, event.advice, now);
    auto rate = event.advice.requestsPerSecond;
    if (const auto cold = coldTargets_.find(event.process); cold != coldTargets_.end())
        rate = std::min(rate.value_or(cold->second), cold->second);
    const bool isNewRate = rates_.record(event.process, rate, now);
    hasNewAdvice_ = hasNewAdvice_ || isNewlyClosed || isNewRate;
    if (isNewRate)
        grantWaiting(now, actions);
}

void RequestRouter::on(const routing::TargetsChanged &event, core::TimePoint now,
                       std::vector<Action> &actions)
{
    entries_ = event.entries;
    const auto isKept = [this](const TargetProcess &process) {
        return isListed(*entries_, process);
    };
    closures_.retain(isKept);
    rates_.retain(isKept);
    work_.retain(isKept);
    std::erase_if(coldTargets_, [&](const auto &item) { return !isKept(item.first); });
    updateColdTargets(now);
    if (arePlacementsOutdated_ && event.hasReplicas)
        placements_.clear();
    grantWaiting(now, actions);
}

void RequestRouter::on(const routing::PlacementsChanged &event, core::TimePoint now,
                       std::vector<Action> &actions)
{
    if (std::exchange(arePlacementsOutdated_, false))
        placements_.clear();
    for (const TargetPlacement &placement : event.placements) {
        TargetPlacement known = std::exchange(placements_[placement.target], placement);
        known.longPromptModels = placement.longPromptModels;
        if (known == placement)
            continue;
        std::erase_if(missingUntil_,
                      [&](const auto &item) { return item.first.first == placement.target; });
    }
    grantWaiting(now, actions);
}

void RequestRouter::on(const routing::PlacementsOutdated &, core::TimePoint, std::vector<Action> &)
{
    arePlacementsOutdated_ = true;
}

void RequestRouter::on(const routing::PermitsGranted &event, core::TimePoint now,
                       std::vector<Action> &actions)
{
    rates_.stopAccruing();
    rates_.handleAccepted();
    for (const PermitGrant &permits : event.grants)
        rates_.credit(permits, now);
    grantWaiting(now, actions);
}

void RequestRouter::on(const routing::RatesDistributed &event, core::TimePoint now,
                       std::vector<Action> &actions)
{
    rates_.adopt(event.rates, now);
    grantWaiting(now, actions);
}

void RequestRouter::on(const routing::CoordinatorChanged &, core::TimePoint, std::vector<Action> &)
{
    rates_.handleSuccessor();
}

void RequestRouter::on(const routing::CoordinatorAbsent &event, core::TimePoint now,
                       std::vector<Action> &actions)
{
    rates_.accrue(now, event.rank, event.nodes);
    window_.setNodes(event.nodes);
    grantWaiting(now, actions);
}

void RequestRouter::on(const routing::LoadsReported &event, core::TimePoint now,
                       std::vector<Action> &actions)
{
    reportedLoads_.clear();
    for (const TargetLoad &load : event.loads)
        reportedLoads_[load.target] = load.inFlight;
    window_.adoptSums(event.loads, event.includesLastReport, now);
    updateQuotas(event.loads, now);
    for (const Artifact &artifact : queue_.artifacts(now))
        grantInOrder(artifact, now, actions);
}

void RequestRouter::on(const routing::ColdRatesChanged &event, core::TimePoint now,
                       std::vector<Action> &)
{
    coldRates_ = event.requestsPerSecond;
    updateColdTargets(now);
}

void RequestRouter::on(const routing::InteractiveServicesChanged &event, core::TimePoint,
                       std::vector<Action> &)
{
    interactive_.clear();
    for (const InteractiveService &service : event.services)
        interactive_.emplace(service.service, service);
}

void RequestRouter::on(const routing::Tick &, core::TimePoint now, std::vector<Action> &actions)
{
    std::erase_if(missingUntil_, [now](const auto &item) { return item.second <= now; });
    grantWaiting(now, actions);
    refuseExpired(now);
}

void RequestRouter::grantWaiting(core::TimePoint now, std::vector<Action> &actions)
{
    for (const Artifact &artifact : queue_.artifacts(now))
        grantInOrder(artifact, now, actions);
    for (auto position = waiting_.begin(); position != waiting_.end();) {
        const TargetEntry *entry =
            queue_.contains(position->first) ? nullptr : choose(position->second.demand, now);
        if (!entry) {
            ++position;
            continue;
        }
        grant(position->first, position->second.demand, *entry, now, actions);
        actions.back().waited = now - position->second.since;
        position = waiting_.erase(position);
    }
}

void RequestRouter::grant(std::uint64_t request, const RouteRequirements &demand,
                          const TargetEntry &entry, core::TimePoint now,
                          std::vector<Action> &actions)
{
    if (const auto permit = rates_.take(entry.process(), now))
        heldPermits_.insert_or_assign(request, *permit);
    if (const InteractiveService *service = interactiveService(demand.service))
        work_.begin(request, entry.process(), *service, demand.work, window_.others(entry.target),
                    now);
    ++outstanding_[entry.target];
    if (demand.artifact)
        ++uses_[Key(entry.target, *demand.artifact)];
    std::optional<routing::LongPromptPlacement> longPrompt;
    if (isLongPrompt(demand)) {
        longPrompts_.begin(request, entry.target);
        longPrompt = readsLongPrompts(entry, demand.artifact->model)
            ? routing::LongPromptPlacement::Chosen
            : routing::LongPromptPlacement::Other;
    }
    actions.push_back({request, entry.target, entry.address, entry.startedAt,
                       rates_.rateOf(entry.process()).has_value(), longPrompt});
}

bool RequestRouter::serves(const TargetEntry &entry, const Artifact &artifact) const
{
    const auto placed = placements_.find(entry.target);
    if (placed == placements_.end() || placed->second.startedAt != entry.startedAt)
        return entry.holds(artifact);
    return std::ranges::find(placed->second.artifacts, artifact) != placed->second.artifacts.end();
}

bool RequestRouter::isEligible(const TargetEntry &entry, const RouteRequirements &demand) const
{
    return entry.service == demand.service && entry.acceptsWork()
        && (demand.only.empty()
            || std::ranges::find(demand.only, entry.target) != demand.only.end());
}

bool RequestRouter::isUsable(const TargetEntry &entry, const RouteRequirements &demand,
                             core::TimePoint now) const
{
    if (!isEligible(entry, demand) || closures_.isClosed(entry.process(), now))
        return false;
    if (!demand.artifact)
        return true;
    const auto missing = missingUntil_.find(Key(entry.target, *demand.artifact));
    return (missing == missingUntil_.end() || missing->second <= now)
        && serves(entry, *demand.artifact);
}

bool RequestRouter::needsPermit(const TargetEntry &entry, core::TimePoint now) const
{
    const TargetProcess process = entry.process();
    return rates_.rateOf(process) && !rates_.hasPermit(process, now);
}

const TargetEntry *RequestRouter::choose(const RouteRequirements &demand, core::TimePoint now,
                                         bool yields)
{
    std::vector<const TargetEntry *> candidates;
    std::vector<ReplicaCandidate> replicas;
    std::size_t ejectedCount = 0;
    for (const auto &[target, entry] : *entries_) {
        if (!isUsable(entry, demand, now))
            continue;
        if (needsPermit(entry, now)) {
            missedPermits_.insert(target);
            continue;
        }
        const bool isEjected = outliers_.isEjected(target, now);
        ejectedCount += isEjected ? 1 : 0;
        candidates.push_back(&entry);
        replicas.push_back({.target = target,
                            .outstanding = outstanding(target),
                            .reported = loadOf(target),
                            .isSuspected = isEjected});
    }
    if (candidates.empty())
        return nullptr;
    // If most targets fail, the cause is likely common to them, and ejecting them would overload
    // the few others.
    if (ejectedCount * 2 > candidates.size()) {
        for (ReplicaCandidate &replica : replicas)
            replica.isSuspected = false;
    }
    narrowByPromptLength(demand, candidates, replicas);
    const InteractiveService *service = interactiveService(demand.service);
    if (service)
        predict(replicas, demand, *service, now, yields);
    const auto mustWait = [&](const core::TargetId &target) {
        return isOrdered(demand)
            && std::ranges::find(replicas, target, &ReplicaCandidate::target)->isFull;
    };
    if (demand.prefix != 0 && demand.avoid.empty() && ejectedCount == 0) {
        const TargetEntry *holder = choosePrefixHolder(demand, candidates);
        if (holder && !mustWait(holder->target))
            return holder;
    }
    const auto chosen =
        (service ? interactiveSelector_ : selector_)->choose(replicas, demand.avoid);
    return chosen && !mustWait(*chosen) ? &entries_->at(*chosen) : nullptr;
}

const TargetEntry *
RequestRouter::choosePrefixHolder(const RouteRequirements &demand,
                                  const std::vector<const TargetEntry *> &candidates) const
{
    // Rendezvous hashing: all nodes with the same target list choose the same target for a prefix.
    const auto preferred = std::ranges::max_element(candidates, {}, [&](const TargetEntry *entry) {
        return core::stableHash(entry->target.value, demand.prefix);
    });
    const auto leastLoaded = std::ranges::min_element(
        candidates, {}, [&](const TargetEntry *entry) { return loadOf(entry->target); });
    const bool isOverloaded =
        loadOf((*preferred)->target) > loadOf((*leastLoaded)->target) + kMaxPrefixExtraLoad;
    return isOverloaded ? nullptr : *preferred;
}

std::uint32_t RequestRouter::outstanding(const core::TargetId &target) const
{
    const auto position = outstanding_.find(target);
    return position == outstanding_.end() ? 0 : position->second;
}

std::uint32_t RequestRouter::loadOf(const core::TargetId &target) const
{
    const auto position = reportedLoads_.find(target);
    return std::max(outstanding(target), position == reportedLoads_.end() ? 0 : position->second);
}

std::vector<ArtifactDemand> RequestRouter::takeDemands(core::TimePoint now)
{
    std::map<Artifact, ArtifactDemand> demands;
    for (const auto &[artifact, counter] : arrivals_)
        demands[artifact] = {artifact, counter.service,         0, counter.arrived, {},
                             {},       counter.longPromptTokens};
    arrivals_.clear();
    for (const auto &[request, waiting] : waiting_) {
        if (!waiting.demand.artifact)
            continue;
        ArtifactDemand &demand = demands[*waiting.demand.artifact];
        demand.artifact = *waiting.demand.artifact;
        demand.service = waiting.demand.service;
        if (queue_.isForRoom(request)) {
            ++demand.waitingForRoom;
            continue;
        }
        const auto wait = std::chrono::floor<std::chrono::milliseconds>(now - waiting.since);
        // The most urgent request has the least time left to its target latency.
        if (demand.waiting == 0
            || waiting.demand.targetLatency - wait < demand.targetLatency - demand.oldestWait) {
            demand.targetLatency = waiting.demand.targetLatency;
            demand.oldestWait = wait;
        }
        ++demand.waiting;
    }
    std::vector<ArtifactDemand> result;
    for (auto &[artifact, demand] : demands)
        result.push_back(std::move(demand));
    return result;
}

std::vector<ArtifactInFlight> RequestRouter::uses()
{
    window_.remember(outstanding_);
    std::vector<ArtifactInFlight> result;
    for (const auto &[key, count] : uses_)
        result.push_back({key.first, key.second, count});
    return result;
}

bool RequestRouter::takeNewlyWaiting()
{
    return std::exchange(hasNewlyWaiting_, false);
}

} // namespace boragerack::decisions
