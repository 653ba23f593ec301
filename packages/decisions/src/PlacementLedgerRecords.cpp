// Platform records of the ledger: derives the writes from the replica states and processes answers.
#include "PlacementLedgerState.h"

#include <algorithm>
#include <array>

namespace boragerack::decisions {

namespace {

bool containsDecision(const ModelRecord &record, const ReplicaDecision &decision)
{
    return std::find(record.replicas.begin(), record.replicas.end(), decision)
        != record.replicas.end();
}

/// The phase to be recorded for a replica in this state; nothing if the state does not set one.
std::optional<ReservationPhase> phaseOf(ReplicaState state)
{
    switch (state) {
    case ReplicaState::Ready:
        return ReservationPhase::Ready;
    case ReplicaState::Draining:
        return ReservationPhase::Draining;
    case ReplicaState::Unloading:
        return ReservationPhase::Unloading;
    default:
        return std::nullopt;
    }
}

constexpr std::array kFoundEvents = {
    ReplicaChartEvent::FoundRecorded, ReplicaChartEvent::FoundReady,
    ReplicaChartEvent::FoundDraining, ReplicaChartEvent::FoundUnloading};

} // namespace

const MemoryReservation *findReservation(const TargetRecord &record, const OperationId &order)
{
    // Reservations are sorted by order; applyTargetRecord() ensures it.
    const auto found = std::lower_bound(
        record.reservations.begin(), record.reservations.end(), order,
        [](const MemoryReservation &each, const OperationId &key) { return each.order < key; });
    return found == record.reservations.end() || found->order != order ? nullptr : &*found;
}

void PlacementLedger::on(const PlatformSnapshot &event)
{
    // An object that is not in the snapshot was deleted, unless its known version is newer.
    const Versioned<ModelRecord> noModel;
    const Versioned<TargetRecord> noTarget;
    std::set<Artifact> listedModels;
    for (const Versioned<ModelRecord> &object : event.models) {
        listedModels.insert(object.record.artifact);
        applyModelRecord(object);
    }
    for (auto &[artifact, entry] : models_) {
        if (!listedModels.contains(artifact) && entry.object.version < event.revision)
            entry.object = noModel;
        dirtyModels_.insert(artifact);
    }
    std::set<core::TargetId> listedTargets;
    for (const Versioned<TargetRecord> &object : event.targets) {
        listedTargets.insert(object.record.target);
        applyTargetRecord(object);
    }
    for (auto &[target, entry] : targets_) {
        if (!listedTargets.contains(target) && entry.object.version != 0
            && entry.object.version < event.revision) {
            entry.object = noTarget;
            ++entry.epoch;
        }
        dirtyTargets_.insert(target);
    }
    isSynchronised_ = isPlanner_;
}

void PlacementLedger::on(const ModelRead &event)
{
    applyModelRecord(event.object);
}

void PlacementLedger::on(const TargetRead &event)
{
    applyTargetRecord(event.object);
}

void PlacementLedger::applyModelRecord(const Versioned<ModelRecord> &object)
{
    ModelEntry &entry = models_[object.record.artifact];
    if (object.version <= entry.object.version)
        return;
    entry.object = object;
    if (entry.pending && entry.pending->record.writer == object.record.writer) {
        entry.pending.reset();
        entry.isUncertain = false;
    }
    dirtyModels_.insert(object.record.artifact);
}

void PlacementLedger::applyTargetRecord(const Versioned<TargetRecord> &object)
{
    TargetEntry &entry = targets_[object.record.target];
    if (object.version <= entry.object.version)
        return;
    entry.object = object;
    std::sort(entry.object.record.reservations.begin(), entry.object.record.reservations.end());
    if (entry.pending && entry.pending->record.writer == object.record.writer) {
        entry.pending.reset();
        entry.isUncertain = false;
    } else {
        ++entry.epoch;
    }
    dirtyTargets_.insert(object.record.target);
}

void PlacementLedger::on(const WriteAnswered &event)
{
    const auto write = writes_.find(event.write);
    if (write == writes_.end())
        return;
    const auto key = write->second;
    if (event.outcome != WriteOutcome::Unknown)
        writes_.erase(write);
    if (const auto *artifact = std::get_if<Artifact>(&key))
        completeModelWrite(*artifact, event);
    else
        completeTargetWrite(std::get<core::TargetId>(key), event);
}

void PlacementLedger::completeModelWrite(const Artifact &artifact, const WriteAnswered &event)
{
    ModelEntry &entry = models_[artifact];
    if (!entry.pending || entry.pending->record.writer != event.write)
        return;
    if (event.outcome == WriteOutcome::Unknown) {
        entry.isUncertain = true;
        return;
    }
    if (event.outcome == WriteOutcome::Applied)
        applyModelRecord({event.version, entry.pending->record});
    else if (event.model && event.model->version != 0)
        applyModelRecord(*event.model);
    else
        entry.object = {};
    entry.pending.reset();
    entry.isUncertain = false;
    dirtyModels_.insert(artifact);
}

void PlacementLedger::completeTargetWrite(const core::TargetId &target, const WriteAnswered &event)
{
    TargetEntry &entry = targets_[target];
    if (!entry.pending || entry.pending->record.writer != event.write)
        return;
    if (event.outcome == WriteOutcome::Unknown) {
        entry.isUncertain = true;
        return;
    }
    if (event.outcome == WriteOutcome::Applied) {
        applyTargetRecord({event.version, entry.pending->record});
    } else if (event.target && event.target->version != 0) {
        applyTargetRecord(*event.target);
    } else {
        entry.object = {};
        ++entry.epoch;
    }
    entry.pending.reset();
    entry.isUncertain = false;
    dirtyTargets_.insert(target);
}

void PlacementLedger::retryUncertainWrites()
{
    // Repeats the write with the same condition and identifier. If the first copy was applied, the
    // answer contains its identifier. Writes that are no longer pending were found in a read.
    std::erase_if(writes_, [this](const auto &write) {
        const auto repeat = [this, &write](auto &entry) {
            if (!entry.pending || entry.pending->record.writer != write.first)
                return true;
            if (entry.isUncertain)
                actions_.emplace_back(*entry.pending);
            entry.isUncertain = false;
            return false;
        };
        const auto *artifact = std::get_if<Artifact>(&write.second);
        return artifact ? repeat(models_[*artifact])
                        : repeat(targets_[std::get<core::TargetId>(write.second)]);
    });
}

void PlacementLedger::reconcile()
{
    while (!dirtyModels_.empty() || !dirtyTargets_.empty()) {
        while (!dirtyModels_.empty()) {
            const Artifact artifact = *dirtyModels_.begin();
            dirtyModels_.erase(dirtyModels_.begin());
            matchDecisions(artifact);
            writeModel(artifact);
        }
        if (dirtyTargets_.empty())
            break;
        const core::TargetId target = *dirtyTargets_.begin();
        dirtyTargets_.erase(dirtyTargets_.begin());
        matchReservations(target);
        adoptReservations(target);
        writeTarget(target);
        sendNextOrder(target);
    }
}

void PlacementLedger::matchDecisions(const Artifact &artifact)
{
    ModelEntry &entry = models_[artifact];
    const std::set<core::TargetId> targets = entry.targets;
    for (const core::TargetId &target : targets) {
        const ReplicaKey key {target, artifact};
        const TrackedReplica &replica = replicas_.at(key);
        const bool isListed = containsDecision(entry.object.record, {target, replica.order});
        if (replica.lifecycle.state() == ReplicaState::Deciding && isListed)
            fire(key, ReplicaChartEvent::DecisionWritten);
        else if (replica.lifecycle.state() == ReplicaState::Withdrawing && !isListed
                 && !entry.pending)
            fire(key, ReplicaChartEvent::DecisionWithdrawn);
    }
    if (!isActive())
        return;
    for (const ReplicaDecision &decision : entry.object.record.replicas) {
        const ReplicaKey key {decision.target, artifact};
        if (!replicas_.contains(key)
            && !findReservation(targets_[decision.target].object.record, decision.order))
            unreservedDecisions_.try_emplace(key, now_);
    }
}

void PlacementLedger::writeModel(const Artifact &artifact)
{
    ModelEntry &entry = models_[artifact];
    if (entry.pending)
        return;
    ModelRecord record = entry.object.record;
    record.artifact = artifact;
    bool isChanged = false;
    const std::set<core::TargetId> targets = entry.targets;
    for (const core::TargetId &target : targets) {
        const ReplicaKey key {target, artifact};
        TrackedReplica &replica = replicas_.at(key);
        const ReplicaDecision decision {target, replica.order};
        if (replica.lifecycle.state() == ReplicaState::Withdrawing) {
            isChanged = std::erase(record.replicas, decision) > 0 || isChanged;
        } else if (replica.lifecycle.state() == ReplicaState::Deciding) {
            // A decision that conflicts with another planner's write is dropped; the caller decides
            // again with the current records.
            if (!isActive() || replica.isDecisionAttempted) {
                fire(key, ReplicaChartEvent::DecisionLost);
                continue;
            }
            replica.isDecisionAttempted = true;
            replica.targetEpoch = targets_.at(target).epoch;
            record.replicas.push_back(decision);
            isChanged = true;
        }
    }
    if (!isChanged)
        return;
    std::sort(record.replicas.begin(), record.replicas.end());
    record.writer = nextOperationId();
    writes_.emplace(record.writer, artifact);
    entry.pending = WriteModel {entry.object.version, std::move(record)};
    actions_.emplace_back(*entry.pending);
}

void PlacementLedger::matchReservations(const core::TargetId &target)
{
    TargetEntry &entry = targets_[target];
    const bool isForeign =
        entry.appliedVersion != entry.object.version && !isOwn(entry.object.record.writer);
    entry.appliedVersion = entry.object.version;
    const std::set<Artifact> artifacts = entry.artifacts;
    for (const Artifact &artifact : artifacts) {
        const ReplicaKey key {target, artifact};
        const TrackedReplica &replica = replicas_.at(key);
        const MemoryReservation *reservation = findReservation(entry.object.record, replica.order);
        if (isForeign && reservation)
            applyPhase(key, reservation->phase);
        switch (replica.lifecycle.state()) {
        case ReplicaState::Reserving:
            if (reservation)
                fire(key, ReplicaChartEvent::ReservationWritten);
            break;
        case ReplicaState::Revoking:
            if (reservation)
                fire(key, ReplicaChartEvent::ReservationFound);
            else if (entry.object.record.writer == replica.revocation)
                fire(key, ReplicaChartEvent::TargetWritten);
            break;
        case ReplicaState::Loading:
        case ReplicaState::Ready:
        case ReplicaState::Draining:
        case ReplicaState::Unloading:
        case ReplicaState::Releasing:
            // Only another planner can have removed the reservation of a replica in these states.
            if (!reservation)
                fire(key, ReplicaChartEvent::ReservationReleased);
            else if (reservation->phase == ReservationPhase::Unloading && !replica.unloadOrder
                     && replica.lifecycle.state() == ReplicaState::Unloading)
                fire(key, ReplicaChartEvent::UnloadWritten);
            break;
        default:
            break;
        }
    }
}

void PlacementLedger::applyPhase(const ReplicaKey &key, ReservationPhase phase)
{
    const ReplicaState state = replicas_.at(key).lifecycle.state();
    if (phase == ReservationPhase::Ready && state == ReplicaState::Loading)
        fire(key, ReplicaChartEvent::WeightsReady);
    else if (phase == ReservationPhase::Ready && state == ReplicaState::Draining)
        fire(key, ReplicaChartEvent::DrainCancelled);
    else if (phase == ReservationPhase::Draining && state == ReplicaState::Ready)
        fire(key, ReplicaChartEvent::Drain);
    else if (phase == ReservationPhase::Unloading && state != ReplicaState::Unloading)
        fire(key, ReplicaChartEvent::ForceUnload);
}

void PlacementLedger::adoptReservations(const core::TargetId &target)
{
    if (!isActive())
        return;
    const std::vector<MemoryReservation> reservations = targets_[target].object.record.reservations;
    for (const MemoryReservation &reservation : reservations) {
        const ReplicaKey key {target, reservation.artifact};
        if (replicas_.contains(key))
            continue;
        addReplica(key, reservation.order, reservation.memoryMiB);
        unreservedDecisions_.erase(key);
        fire(key, kFoundEvents.at(static_cast<std::size_t>(reservation.phase)));
        // These phases are written only after the engine has reported the weights as ready.
        if (reservation.phase == ReservationPhase::Ready
            || reservation.phase == ReservationPhase::Draining)
            fire(key, OrderChartEvent::Received);
        if (targets_[target].isRemoved)
            fire(key, ReplicaChartEvent::TargetRemoved);
        else if (removedInstances_.contains(reservation.order.instance))
            fire(key, OrderChartEvent::IssuerRemoved);
    }
}

void PlacementLedger::writeTarget(const core::TargetId &target)
{
    TargetEntry &entry = targets_[target];
    if (entry.pending)
        return;
    TargetRecord record = entry.object.record;
    record.target = target;
    bool isChanged = entry.object.version == 0 && entry.isListed && isActive();
    std::vector<ReplicaKey> revoked;
    if (entry.isListed)
        record.memoryMiB = entry.listedMiB;
    if (entry.isRemoved && !record.reservations.empty()) {
        record.reservations.clear();
        isChanged = true;
    }
    const std::set<Artifact> artifacts = entry.artifacts;
    for (const Artifact &artifact : artifacts) {
        const ReplicaKey key {target, artifact};
        const TrackedReplica &replica = replicas_.at(key);
        const MemoryReservation *reservation = findReservation(entry.object.record, replica.order);
        const std::optional<ReservationPhase> phase = phaseOf(replica.lifecycle.state());
        if (replica.lifecycle.state() == ReplicaState::Reserving) {
            // After another process has changed the record, the decision may have been revoked, so
            // the placement must start again.
            const bool isPermitted = isActive() && entry.isListed && entry.object.version != 0
                && replica.targetEpoch == entry.epoch;
            if (!isPermitted || reservedMiB(record) + replica.memoryMiB > record.memoryMiB) {
                fire(key, ReplicaChartEvent::ReservationRefused);
                continue;
            }
            record.reservations.push_back(
                {replica.order, artifact, replica.memoryMiB, ReservationPhase::Recorded});
            isChanged = true;
        } else if (replica.lifecycle.state() == ReplicaState::Releasing) {
            isChanged = std::erase_if(record.reservations,
                                      [&replica](const MemoryReservation &each) {
                                          return each.order == replica.order;
                                      })
                    > 0
                || isChanged;
        } else if (replica.lifecycle.state() == ReplicaState::Revoking) {
            revoked.push_back(key);
            isChanged = true;
        } else if (isActive() && phase && reservation && reservation->phase != *phase) {
            for (MemoryReservation &each : record.reservations) {
                if (each.order == replica.order)
                    each.phase = *phase;
            }
            isChanged = true;
        }
    }
    if (!isChanged)
        return;
    std::sort(record.reservations.begin(), record.reservations.end());
    record.writer = nextOperationId();
    for (const ReplicaKey &key : revoked)
        replicas_.at(key).revocation = record.writer;
    writes_.emplace(record.writer, target);
    entry.pending = WriteTarget {entry.object.version, std::move(record)};
    actions_.emplace_back(*entry.pending);
}

} // namespace boragerack::decisions
