#include "PlacementLedgerState.h"

#include <algorithm>

#include "boragerack/decisions/OrderEvidence.h"

namespace boragerack::decisions {

namespace {

// Time without a sign of an order before a planner raises the fence against it. It only affects
// how soon a lost order is replaced.
constexpr std::chrono::seconds kSupersedeAfter(5);
// An unload order is repeated under the same identity when no report has shown its effect.
constexpr std::chrono::seconds kRepeatUnloadAfter(3);
// A planner that is alive writes the intent within milliseconds of the decision.
constexpr std::chrono::seconds kOrphanAge(2);
// A report may lag; an engine that omits a confirmed order for longer has lost it.
constexpr std::chrono::seconds kMissingAfter(2);

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

bool PlacementLedger::isOwn(const OperationId &stamp) const
{
    return stamp.instance == instance_ && stamp.incarnation == incarnation_;
}

OperationId PlacementLedger::nextStamp()
{
    return {instance_, incarnation_, ++sequence_};
}

template<class Event>
void PlacementLedger::fire(const TrackKey &key, Event event)
{
    const auto found = tracks_.find(key);
    if (found == tracks_.end())
        return;
    Track &track = found->second;
    const ReplicaState before = track.life.state();
    const std::vector<ReplicaChartAction> effects = track.life.fire(event);
    if (track.life.state() != before) {
        track.since = now_;
        track.drains += track.life.state() == ReplicaState::Draining ? 1 : 0;
    }
    for (const ReplicaChartAction effect : effects) {
        switch (effect) {
        case ReplicaChartAction::UpdateModel:
            dirtyModels_.insert(key.second);
            break;
        case ReplicaChartAction::UpdateTarget:
            dirtyTargets_.insert(key.first);
            break;
        case ReplicaChartAction::QueueLoad:
            targets_[key.first].outbox.push_back({OrderKind::Load, key.second, track.order});
            dirtyTargets_.insert(key.first);
            break;
        case ReplicaChartAction::SendUnload:
            sendUnload(key);
            break;
        case ReplicaChartAction::NotifyStateChange:
            actions_.emplace_back(
                ReplicaStateChanged {key.second, key.first, track.life.state(), track.drains});
            break;
        }
    }
    if (track.life.state() == ReplicaState::Absent)
        dropTrack(key);
}

void PlacementLedger::addTrack(const TrackKey &key, const OperationId &order,
                               std::uint64_t memoryMiB)
{
    tracks_.insert_or_assign(key, Track {order, memoryMiB, ReplicaLifecycle(charts_), now_});
    targets_[key.first].tracks.insert(key.second);
    models_[key.second].tracks.insert(key.first);
}

void PlacementLedger::dropTrack(const TrackKey &key)
{
    tracks_.erase(key);
    targets_[key.first].tracks.erase(key.second);
    models_[key.second].tracks.erase(key.first);
    // Another planner's intent for the same pair may have been hidden by the track.
    dirtyTargets_.insert(key.first);
    dirtyModels_.insert(key.second);
}

void PlacementLedger::on(const PlaceReplica &event)
{
    const TrackKey key {event.target, event.artifact};
    const auto target = targets_.find(event.target);
    if (!isActive() || tracks_.contains(key) || target == targets_.end() || !target->second.isListed
        || target->second.object.version == 0) {
        actions_.emplace_back(
            ReplicaStateChanged {event.artifact, event.target, ReplicaState::Absent});
        return;
    }
    addTrack(key, nextStamp(), event.memoryMiB);
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
    const TrackKey key {event.target, event.artifact};
    if (const auto track = tracks_.find(key);
        track != tracks_.end() && track->second.drains == event.drain)
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
    const TrackKey key {target, answered.artifact};
    const auto track = tracks_.find(key);
    if (track == tracks_.end())
        return;
    if (answered.kind == OrderKind::Unload) {
        // A refused unload must be repeated with a current fencing number.
        if (event.outcome == OrderOutcome::StaleFence && track->second.unload == event.order)
            track->second.unload.reset();
        return;
    }
    if (track->second.order != event.order)
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
    const std::set<Artifact> artifacts = target->second.tracks;
    for (const Artifact &artifact : artifacts)
        checkReport({event.target, artifact}, event.report);
}

void PlacementLedger::checkReport(const TrackKey &key, const EngineReport &report)
{
    Track &track = tracks_.at(key);
    const OrderEvidence evidence = readEvidence(report, key.second, track.order, track.unload,
                                                targets_.at(key.first).checksFencing);
    if (evidence.isOrderReceived) {
        track.missingSince.reset();
    } else if (track.life.orderState() == OrderState::Confirmed) {
        if (!track.missingSince)
            track.missingSince = now_;
        else if (now_ - *track.missingSince >= kMissingAfter
                 && track.life.state() != ReplicaState::Unloading)
            fire(key, ReplicaChartEvent::ForceUnload);
    }
    for (const OrderChartEvent event : evidence.orderEvents())
        fire(key, event);
    if (evidence.isReady)
        fire(key, ReplicaChartEvent::WeightsReady);
}

void PlacementLedger::sendUnload(const TrackKey &key)
{
    Track &track = tracks_.at(key);
    TargetEntry &target = targets_.at(key.first);
    track.unload.reset();
    // The unload must carry a higher number than any order that relied on the earlier phase.
    const MemoryReservation *intent = findIntent(target.object.record, track.order);
    if (!isPlanner_ || !intent || intent->phase != ReservationPhase::Unloading)
        return;
    track.unload = nextStamp();
    track.unloadSentAt = now_;
    target.outbox.push_back({OrderKind::Unload, key.second, *track.unload});
    dirtyTargets_.insert(key.first);
}

void PlacementLedger::sendNextOrder(const core::TargetId &target)
{
    TargetEntry &entry = targets_.at(target);
    while (!entry.outstanding && !entry.outbox.empty()) {
        const TargetEntry::QueuedOrder next = entry.outbox.front();
        entry.outbox.pop_front();
        const TrackKey key {target, next.artifact};
        const auto found = tracks_.find(key);
        if (found == tracks_.end())
            continue;
        Track &track = found->second;
        SendOrder order {next.kind,     next.order,      target,
                         next.artifact, track.memoryMiB, entry.object.version};
        if (next.kind == OrderKind::Unload) {
            if (track.unload != next.order || track.life.state() != ReplicaState::Unloading)
                continue;
        } else {
            if (track.order != next.order || track.life.orderState() != OrderState::Recorded)
                continue;
            const MemoryReservation *intent = findIntent(entry.object.record, track.order);
            if (!isPlanner_ || track.life.state() != ReplicaState::Loading || !intent
                || intent->phase != ReservationPhase::Recorded) {
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
    entry.hasLeft = false;
    entry.isLeaving = event.isLeaving;
    entry.checksFencing = event.checksFencing;
    entry.listedMiB = event.memoryMiB;
    dirtyTargets_.insert(event.target);
}

void PlacementLedger::on(const TargetRemoved &event)
{
    TargetEntry &entry = targets_[event.target];
    entry.isListed = false;
    entry.hasLeft = true;
    dirtyTargets_.insert(event.target);
    entry.outbox.clear();
    entry.outstanding.reset();
    const std::set<Artifact> artifacts = entry.tracks;
    for (const Artifact &artifact : artifacts)
        fire(TrackKey {event.target, artifact}, ReplicaChartEvent::TargetRemoved);
}

void PlacementLedger::on(const InstanceRemoved &event)
{
    gone_.insert(event.instance);
    std::vector<TrackKey> keys;
    for (const auto &[key, track] : tracks_) {
        if (track.order.instance == event.instance)
            keys.push_back(key);
    }
    for (const TrackKey &key : keys)
        fire(key, OrderChartEvent::IssuerRemoved);
}

void PlacementLedger::on(const RoleChanged &event)
{
    if (event.isPlanner == isPlanner_)
        return;
    isPlanner_ = event.isPlanner;
    isSynchronised_ = false;
    orphans_.clear();
    std::vector<TrackKey> foreign;
    for (const auto &[key, track] : tracks_) {
        if (!isOwn(track.order))
            foreign.push_back(key);
        dirtyTargets_.insert(key.first);
        dirtyModels_.insert(key.second);
    }
    if (!isPlanner_) {
        for (const TrackKey &key : foreign)
            dropTrack(key);
    }
}

void PlacementLedger::on(const PlacementTick &)
{
    repeatUncertainWrites();
    if (!isActive())
        return;
    std::vector<TrackKey> keys;
    for (const auto &[key, track] : tracks_) {
        if (track.life.state() == ReplicaState::Loading
            || track.life.state() == ReplicaState::Unloading)
            keys.push_back(key);
    }
    for (const TrackKey &key : keys)
        seekEvidence(key);
    std::erase_if(orphans_, [this](const auto &orphan) {
        const TrackKey &key = orphan.first;
        if (now_ - orphan.second < kOrphanAge)
            return false;
        dirtyModels_.insert(key.second);
        const auto &entries = models_[key.second].object.record.replicas;
        const auto entry = std::find_if(entries.begin(), entries.end(), [&](const auto &each) {
            return each.target == orphan.first.first;
        });
        if (entry == entries.end() || tracks_.contains(key))
            return true;
        addTrack(key, entry->order, 0);
        fire(key, ReplicaChartEvent::FoundDecision);
        return true;
    });
}

void PlacementLedger::seekEvidence(const TrackKey &key)
{
    Track &track = tracks_.at(key);
    const TargetEntry &target = targets_.at(key.first);
    if (track.life.state() == ReplicaState::Unloading) {
        if (now_ - track.unloadSentAt < kRepeatUnloadAfter)
            return;
        if (!track.unload) {
            sendUnload(key);
        } else if (!target.outstanding) {
            track.unloadSentAt = now_;
            targets_.at(key.first).outbox.push_back({OrderKind::Unload, key.second, *track.unload});
            dirtyTargets_.insert(key.first);
        }
        return;
    }
    const bool isUnconfirmed = track.life.accepts(OrderChartEvent::FenceRaised);
    const bool isQueued = isOwn(track.order) && track.life.orderState() == OrderState::Recorded;
    if (target.checksFencing && isUnconfirmed && !isQueued && now_ - track.since >= kSupersedeAfter)
        fire(key, ReplicaChartEvent::ForceUnload);
}

} // namespace boragerack::decisions
