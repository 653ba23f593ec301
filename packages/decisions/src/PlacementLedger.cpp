#include "PlacementLedgerState.h"

#include <algorithm>
#include <utility>

#include "boragerack/decisions/OrderEvidence.h"

namespace boragerack::decisions {

namespace {

// Time without evidence of a load order after which a planner raises the fencing number to have it
// refused. It only affects how soon a lost order is replaced.
constexpr std::chrono::seconds kSupersedeTimeout(5);
// An unload order is repeated with the same identifier when no report shows its effect.
constexpr std::chrono::seconds kUnloadRetryInterval(3);
// A running planner writes the reservation within milliseconds of the decision.
constexpr std::chrono::seconds kUnreservedDecisionTimeout(2);
// Reports may be late; an engine whose reports omit a confirmed order for longer has lost it.
constexpr std::chrono::seconds kMissingOrderTimeout(2);

} // namespace

PlacementLedger::PlacementLedger(core::InstanceId instance, std::uint64_t incarnation,
                                 PlacementCharts charts)
    : instance_(std::move(instance))
    , incarnation_(incarnation)
    , charts_(std::move(charts))
{
}

PlacementLedger::~PlacementLedger() = default;

std::vector<LedgerAction> PlacementLedger::handle(const LedgerEvent &event, core::TimePoint now)
{
    now_ = now;
    actions_.clear();
    std::visit([this](const auto &each) { on(each); }, event);
    reconcile();
    return std::move(actions_);
}

bool PlacementLedger::isOwn(const OperationId &id) const
{
    return id.instance == instance_ && id.incarnation == incarnation_;
}

OperationId PlacementLedger::nextOperationId()
{
    return {instance_, incarnation_, ++sequence_};
}

template<class Event>
void PlacementLedger::fire(const ReplicaKey &key, Event event)
{
    const auto found = replicas_.find(key);
    if (found == replicas_.end())
        return;
    TrackedReplica &replica = found->second;
    const ReplicaState before = replica.lifecycle.state();
    const std::vector<ReplicaChartAction> chartActions = replica.lifecycle.fire(event);
    if (replica.lifecycle.state() != before) {
        replica.since = now_;
        replica.drains += replica.lifecycle.state() == ReplicaState::Draining ? 1 : 0;
    }
    for (const ReplicaChartAction action : chartActions) {
        switch (action) {
        case ReplicaChartAction::UpdateModel:
            dirtyModels_.insert(key.second);
            break;
        case ReplicaChartAction::UpdateTarget:
            dirtyTargets_.insert(key.first);
            break;
        case ReplicaChartAction::QueueLoad:
            targets_[key.first].queuedOrders.push_back(
                {OrderKind::Load, key.second, replica.order});
            dirtyTargets_.insert(key.first);
            break;
        case ReplicaChartAction::SendUnload:
            sendUnload(key);
            break;
        case ReplicaChartAction::NotifyStateChange:
            actions_.emplace_back(ReplicaStateChanged {key.second, key.first,
                                                       replica.lifecycle.state(), replica.drains});
            break;
        }
    }
    if (replica.lifecycle.state() == ReplicaState::Absent)
        removeReplica(key);
}

void PlacementLedger::addReplica(const ReplicaKey &key, const OperationId &order,
                                 std::uint64_t memoryMiB)
{
    replicas_.insert_or_assign(key,
                               TrackedReplica {order, memoryMiB, ReplicaLifecycle(charts_), now_});
    targets_[key.first].artifacts.insert(key.second);
    models_[key.second].targets.insert(key.first);
}

void PlacementLedger::removeReplica(const ReplicaKey &key)
{
    replicas_.erase(key);
    targets_[key.first].artifacts.erase(key.second);
    models_[key.second].targets.erase(key.first);
    // The record may contain another planner's reservation for the same pair, which could not be
    // adopted while this one was tracked.
    dirtyTargets_.insert(key.first);
    dirtyModels_.insert(key.second);
}

void PlacementLedger::on(const PlaceReplica &event)
{
    const ReplicaKey key {event.target, event.artifact};
    const auto target = targets_.find(event.target);
    if (!isActive() || replicas_.contains(key) || target == targets_.end()
        || !target->second.isListed || target->second.object.version == 0) {
        actions_.emplace_back(
            ReplicaStateChanged {event.artifact, event.target, ReplicaState::Absent});
        return;
    }
    addReplica(key, nextOperationId(), event.memoryMiB);
    fire(key, ReplicaChartEvent::Place);
}

void PlacementLedger::on(const DrainReplica &event)
{
    fire({event.target, event.artifact}, ReplicaChartEvent::Drain);
}

void PlacementLedger::on(const CancelDrain &event)
{
    fire({event.target, event.artifact}, ReplicaChartEvent::DrainCancelled);
}

void PlacementLedger::on(const ReplicaDrained &event)
{
    const ReplicaKey key {event.target, event.artifact};
    if (const auto replica = replicas_.find(key);
        replica != replicas_.end() && replica->second.drains == event.drain)
        fire(key, ReplicaChartEvent::Drained);
}

void PlacementLedger::on(const OrderAnswered &event)
{
    const auto sent = sentOrders_.find(event.order);
    if (sent == sentOrders_.end())
        return;
    const core::TargetId target = sent->second;
    sentOrders_.erase(sent);
    TargetEntry &entry = targets_.at(target);
    if (!entry.outstanding || entry.outstanding->order != event.order)
        return;
    const TargetEntry::QueuedOrder answered = *entry.outstanding;
    entry.outstanding.reset();
    dirtyTargets_.insert(target);
    const ReplicaKey key {target, answered.artifact};
    const auto replica = replicas_.find(key);
    if (replica == replicas_.end())
        return;
    if (answered.kind == OrderKind::Unload) {
        // The refused unload order must be repeated with the current fencing number.
        if (event.outcome == OrderOutcome::StaleFence && replica->second.unloadOrder == event.order)
            replica->second.unloadOrder.reset();
        return;
    }
    if (replica->second.order != event.order)
        return;
    switch (event.outcome) {
    case OrderOutcome::Accepted:
        fire(key, OrderChartEvent::Received);
        break;
    case OrderOutcome::StaleFence:
    case OrderOutcome::DoesNotFit:
        fire(key, OrderChartEvent::EngineRefused);
        break;
    case OrderOutcome::NotSent:
        fire(key, OrderChartEvent::NotSent);
        break;
    case OrderOutcome::Unknown:
        break;
    }
}

void PlacementLedger::on(const EngineReported &event)
{
    const auto target = targets_.find(event.target);
    if (target == targets_.end())
        return;
    const std::set<Artifact> artifacts = target->second.artifacts;
    for (const Artifact &artifact : artifacts)
        checkReport({event.target, artifact}, event.report);
}

void PlacementLedger::checkReport(const ReplicaKey &key, const EngineReport &report)
{
    TrackedReplica &replica = replicas_.at(key);
    const OrderEvidence evidence =
        readEvidence(report, key.second, replica.order, replica.unloadOrder,
                     targets_.at(key.first).checksFencing);
    if (evidence.isOrderReceived) {
        replica.missingSince.reset();
    } else if (replica.lifecycle.orderState() == OrderState::Confirmed) {
        if (!replica.missingSince)
            replica.missingSince = now_;
        else if (now_ - *replica.missingSince >= kMissingOrderTimeout
                 && replica.lifecycle.state() != ReplicaState::Unloading)
            fire(key, ReplicaChartEvent::ForceUnload);
    }
    for (const OrderChartEvent event : evidence.orderEvents())
        fire(key, event);
    if (evidence.isReady)
        fire(key, ReplicaChartEvent::WeightsReady);
}

void PlacementLedger::sendUnload(const ReplicaKey &key)
{
    TrackedReplica &replica = replicas_.at(key);
    TargetEntry &target = targets_.at(key.first);
    replica.unloadOrder.reset();
    // The fencing number must be higher than that of any order sent in an earlier phase, so the
    // unload is sent only after the phase has been written.
    const MemoryReservation *reservation = findReservation(target.object.record, replica.order);
    if (!isPlanner_ || !reservation || reservation->phase != ReservationPhase::Unloading)
        return;
    replica.unloadOrder = nextOperationId();
    replica.unloadSentAt = now_;
    target.queuedOrders.push_back({OrderKind::Unload, key.second, *replica.unloadOrder});
    dirtyTargets_.insert(key.first);
}

void PlacementLedger::sendNextOrder(const core::TargetId &target)
{
    TargetEntry &entry = targets_.at(target);
    while (!entry.outstanding && !entry.queuedOrders.empty()) {
        const TargetEntry::QueuedOrder next = entry.queuedOrders.front();
        entry.queuedOrders.pop_front();
        const ReplicaKey key {target, next.artifact};
        const auto found = replicas_.find(key);
        if (found == replicas_.end())
            continue;
        TrackedReplica &replica = found->second;
        SendOrder order {next.kind,     next.order,        target,
                         next.artifact, replica.memoryMiB, entry.object.version};
        if (next.kind == OrderKind::Unload) {
            if (replica.unloadOrder != next.order
                || replica.lifecycle.state() != ReplicaState::Unloading)
                continue;
        } else {
            if (replica.order != next.order
                || replica.lifecycle.orderState() != OrderState::Recorded)
                continue;
            const MemoryReservation *reservation =
                findReservation(entry.object.record, replica.order);
            if (!isPlanner_ || entry.isEvacuated
                || replica.lifecycle.state() != ReplicaState::Loading || !reservation
                || reservation->phase != ReservationPhase::Recorded) {
                fire(key, OrderChartEvent::NotSent);
                continue;
            }
            fire(key, OrderChartEvent::Send);
        }
        entry.outstanding = next;
        sentOrders_.emplace(next.order, target);
        actions_.emplace_back(std::move(order));
    }
}

void PlacementLedger::on(const TargetListed &event)
{
    TargetEntry &entry = targets_[event.target];
    if (entry.isListed && entry.listedMiB == event.memoryMiB && entry.isLeaving == event.isLeaving
        && entry.checksFencing == event.checksFencing)
        return;
    entry.isListed = true;
    entry.isRemoved = false;
    entry.isLeaving = event.isLeaving;
    entry.checksFencing = event.checksFencing;
    entry.listedMiB = event.memoryMiB;
    dirtyTargets_.insert(event.target);
}

void PlacementLedger::on(const TargetEvacuated &event)
{
    TargetEntry &entry = targets_[event.target];
    if (std::exchange(entry.isEvacuated, event.isEvacuated) != event.isEvacuated)
        dirtyTargets_.insert(event.target);
}

void PlacementLedger::on(const TargetRemoved &event)
{
    TargetEntry &entry = targets_[event.target];
    entry.isListed = false;
    entry.isRemoved = true;
    dirtyTargets_.insert(event.target);
    entry.queuedOrders.clear();
    entry.outstanding.reset();
    const std::set<Artifact> artifacts = entry.artifacts;
    for (const Artifact &artifact : artifacts)
        fire(ReplicaKey {event.target, artifact}, ReplicaChartEvent::TargetRemoved);
}

void PlacementLedger::on(const InstanceRemoved &event)
{
    removedInstances_.insert(event.instance);
    std::vector<ReplicaKey> keys;
    for (const auto &[key, replica] : replicas_) {
        if (replica.order.instance == event.instance)
            keys.push_back(key);
    }
    for (const ReplicaKey &key : keys)
        fire(key, OrderChartEvent::IssuerRemoved);
}

void PlacementLedger::on(const RoleChanged &event)
{
    if (event.isPlanner == isPlanner_)
        return;
    isPlanner_ = event.isPlanner;
    isSynchronised_ = false;
    unreservedDecisions_.clear();
    std::vector<ReplicaKey> foreign;
    for (const auto &[key, replica] : replicas_) {
        if (!isOwn(replica.order))
            foreign.push_back(key);
        dirtyTargets_.insert(key.first);
        dirtyModels_.insert(key.second);
    }
    if (!isPlanner_) {
        for (const ReplicaKey &key : foreign)
            removeReplica(key);
    }
}

void PlacementLedger::on(const PlacementTick &)
{
    retryUncertainWrites();
    if (!isActive())
        return;
    std::vector<ReplicaKey> keys;
    for (const auto &[key, replica] : replicas_) {
        if (replica.lifecycle.state() == ReplicaState::Loading
            || replica.lifecycle.state() == ReplicaState::Unloading)
            keys.push_back(key);
    }
    for (const ReplicaKey &key : keys)
        requestEvidence(key);
    std::erase_if(unreservedDecisions_, [this](const auto &decision) {
        const ReplicaKey &key = decision.first;
        if (now_ - decision.second < kUnreservedDecisionTimeout)
            return false;
        dirtyModels_.insert(key.second);
        const auto &entries = models_[key.second].object.record.replicas;
        const auto entry = std::find_if(entries.begin(), entries.end(), [&](const auto &each) {
            return each.target == decision.first.first;
        });
        if (entry == entries.end() || replicas_.contains(key))
            return true;
        addReplica(key, entry->order, 0);
        fire(key, ReplicaChartEvent::FoundDecision);
        return true;
    });
}

void PlacementLedger::requestEvidence(const ReplicaKey &key)
{
    TrackedReplica &replica = replicas_.at(key);
    const TargetEntry &target = targets_.at(key.first);
    if (replica.lifecycle.state() == ReplicaState::Unloading) {
        if (now_ - replica.unloadSentAt < kUnloadRetryInterval)
            return;
        if (!replica.unloadOrder) {
            sendUnload(key);
        } else if (!target.outstanding) {
            replica.unloadSentAt = now_;
            targets_.at(key.first).queuedOrders.push_back(
                {OrderKind::Unload, key.second, *replica.unloadOrder});
            dirtyTargets_.insert(key.first);
        }
        return;
    }
    const bool isUnconfirmed = replica.lifecycle.accepts(OrderChartEvent::FenceRaised);
    const bool isQueued =
        isOwn(replica.order) && replica.lifecycle.orderState() == OrderState::Recorded;
    if (target.checksFencing && isUnconfirmed && !isQueued
        && now_ - replica.since >= kSupersedeTimeout)
        fire(key, ReplicaChartEvent::ForceUnload);
}

} // namespace boragerack::decisions
