// Records of the ledger: which writes the replicas need and what the answers mean for them.
#include "PlacementLedgerState.h"

#include <algorithm>
#include <array>

namespace boragerack::decisions {

namespace {

bool hasEntry(const ModelRecord &record, const ReplicaDecision &entry)
{
    return std::find(record.replicas.begin(), record.replicas.end(), entry)
        != record.replicas.end();
}

/// The phase that the record must show for a replica in this state.
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

const MemoryReservation *findIntent(const TargetRecord &record, const OperationId &order)
{
    // Intents are sorted by their order.
    const auto found = std::lower_bound(
        record.reservations.begin(), record.reservations.end(), order,
        [](const MemoryReservation &each, const OperationId &key) { return each.order < key; });
    return found == record.reservations.end() || found->order != order ? nullptr : &*found;
}

void PlacementLedger::on(const PlatformSnapshot &event)
{
    // An object missing from the list is deleted unless this process knows a newer version.
    const Versioned<ModelRecord> noModel;
    const Versioned<TargetRecord> noTarget;
    std::set<Artifact> listedModels;
    for (const Versioned<ModelRecord> &object : event.models) {
        listedModels.insert(object.record.artifact);
        acceptModel(object);
    }
    for (auto &[artifact, entry] : models_) {
        if (!listedModels.contains(artifact) && entry.object.version < event.revision)
            entry.object = noModel;
        dirtyModels_.insert(artifact);
    }
    std::set<core::TargetId> listedTargets;
    for (const Versioned<TargetRecord> &object : event.targets) {
        listedTargets.insert(object.record.target);
        acceptTarget(object);
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
    acceptModel(event.object);
}

void PlacementLedger::on(const TargetRead &event)
{
    acceptTarget(event.object);
}

void PlacementLedger::acceptModel(const Versioned<ModelRecord> &object)
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

void PlacementLedger::acceptTarget(const Versioned<TargetRecord> &object)
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
        answerModel(*artifact, event);
    else
        answerTarget(std::get<core::TargetId>(key), event);
}

void PlacementLedger::answerModel(const Artifact &artifact, const WriteAnswered &event)
{
    ModelEntry &entry = models_[artifact];
    if (!entry.pending || entry.pending->record.writer != event.write)
        return;
    if (event.outcome == WriteOutcome::Unknown) {
        entry.isUncertain = true;
        return;
    }
    if (event.outcome == WriteOutcome::Applied)
        acceptModel({event.version, entry.pending->record});
    else if (event.model && event.model->version != 0)
        acceptModel(*event.model);
    else
        entry.object = {};
    entry.pending.reset();
    entry.isUncertain = false;
    dirtyModels_.insert(artifact);
}

void PlacementLedger::answerTarget(const core::TargetId &target, const WriteAnswered &event)
{
    TargetEntry &entry = targets_[target];
    if (!entry.pending || entry.pending->record.writer != event.write)
        return;
    if (event.outcome == WriteOutcome::Unknown) {
        entry.isUncertain = true;
        return;
    }
    if (event.outcome == WriteOutcome::Applied) {
        acceptTarget({event.version, entry.pending->record});
    } else if (event.target && event.target->version != 0) {
        acceptTarget(*event.target);
    } else {
        entry.object = {};
        ++entry.epoch;
    }
    entry.pending.reset();
    entry.isUncertain = false;
    dirtyTargets_.insert(target);
}

void PlacementLedger::repeatUncertainWrites()
{
    // The same write under the same condition and identity; a copy that was applied shows itself
    // in the answer. Entries without a pending write were recognised in a read meanwhile.
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
        matchTracks(target);
        adoptIntents(target);
        writeTarget(target);
        sendNextOrder(target);
    }
}

void PlacementLedger::matchDecisions(const Artifact &artifact)
{
    ModelEntry &entry = models_[artifact];
    const std::set<core::TargetId> targets = entry.tracks;
    for (const core::TargetId &target : targets) {
        const TrackKey key {target, artifact};
        const Track &track = tracks_.at(key);
        const bool isListed = hasEntry(entry.object.record, {target, track.order});
        if (track.life.state() == ReplicaState::Deciding && isListed)
            fire(key, ReplicaChartEvent::DecisionWritten);
        else if (track.life.state() == ReplicaState::Withdrawing && !isListed && !entry.pending)
            fire(key, ReplicaChartEvent::DecisionWithdrawn);
    }
    if (!isActive())
        return;
    for (const ReplicaDecision &replica : entry.object.record.replicas) {
        const TrackKey key {replica.target, artifact};
        if (!tracks_.contains(key)
            && !findIntent(targets_[replica.target].object.record, replica.order))
            orphans_.try_emplace(key, now_);
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
    const std::set<core::TargetId> targets = entry.tracks;
    for (const core::TargetId &target : targets) {
        const TrackKey key {target, artifact};
        Track &track = tracks_.at(key);
        const ReplicaDecision replica {target, track.order};
        if (track.life.state() == ReplicaState::Withdrawing) {
            isChanged = std::erase(record.replicas, replica) > 0 || isChanged;
        } else if (track.life.state() == ReplicaState::Deciding) {
            // A decision that met another planner's is dropped; the caller decides again with
            // what the platform says now.
            if (!isActive() || track.isDecisionAttempted) {
                fire(key, ReplicaChartEvent::DecisionLost);
                continue;
            }
            track.isDecisionAttempted = true;
            track.targetEpoch = targets_.at(target).epoch;
            record.replicas.push_back(replica);
            isChanged = true;
        }
    }
    if (!isChanged)
        return;
    std::sort(record.replicas.begin(), record.replicas.end());
    record.writer = nextStamp();
    writes_.emplace(record.writer, artifact);
    entry.pending = WriteModel {entry.object.version, std::move(record)};
    actions_.emplace_back(*entry.pending);
}

void PlacementLedger::matchTracks(const core::TargetId &target)
{
    TargetEntry &entry = targets_[target];
    const bool isForeign =
        entry.followedVersion != entry.object.version && !isOwn(entry.object.record.writer);
    entry.followedVersion = entry.object.version;
    const std::set<Artifact> artifacts = entry.tracks;
    for (const Artifact &artifact : artifacts) {
        const TrackKey key {target, artifact};
        const Track &track = tracks_.at(key);
        const MemoryReservation *intent = findIntent(entry.object.record, track.order);
        if (isForeign && intent)
            followPhase(key, intent->phase);
        switch (track.life.state()) {
        case ReplicaState::Reserving:
            if (intent)
                fire(key, ReplicaChartEvent::ReservationWritten);
            break;
        case ReplicaState::Revoking:
            if (intent)
                fire(key, ReplicaChartEvent::ReservationFound);
            else if (entry.object.record.writer == track.revocation)
                fire(key, ReplicaChartEvent::TargetWritten);
            break;
        case ReplicaState::Loading:
        case ReplicaState::Ready:
        case ReplicaState::Draining:
        case ReplicaState::Unloading:
        case ReplicaState::Releasing:
            // Only another planner can have removed the intent of a replica in use.
            if (!intent)
                fire(key, ReplicaChartEvent::ReservationReleased);
            else if (intent->phase == ReservationPhase::Unloading && !track.unload
                     && track.life.state() == ReplicaState::Unloading)
                fire(key, ReplicaChartEvent::UnloadWritten);
            break;
        default:
            break;
        }
    }
}

void PlacementLedger::followPhase(const TrackKey &key, ReservationPhase phase)
{
    const ReplicaState state = tracks_.at(key).life.state();
    if (phase == ReservationPhase::Ready && state == ReplicaState::Loading)
        fire(key, ReplicaChartEvent::WeightsReady);
    else if (phase == ReservationPhase::Ready && state == ReplicaState::Draining)
        fire(key, ReplicaChartEvent::DrainCancelled);
    else if (phase == ReservationPhase::Draining && state == ReplicaState::Ready)
        fire(key, ReplicaChartEvent::Drain);
    else if (phase == ReservationPhase::Unloading && state != ReplicaState::Unloading)
        fire(key, ReplicaChartEvent::ForceUnload);
}

void PlacementLedger::adoptIntents(const core::TargetId &target)
{
    if (!isActive())
        return;
    const std::vector<MemoryReservation> intents = targets_[target].object.record.reservations;
    for (const MemoryReservation &intent : intents) {
        const TrackKey key {target, intent.artifact};
        if (tracks_.contains(key))
            continue;
        addTrack(key, intent.order, intent.memoryMiB);
        orphans_.erase(key);
        fire(key, kFoundEvents.at(static_cast<std::size_t>(intent.phase)));
        // These phases are written only after the engine has reported the weights as ready.
        if (intent.phase == ReservationPhase::Ready || intent.phase == ReservationPhase::Draining)
            fire(key, OrderChartEvent::Received);
        if (targets_[target].hasLeft)
            fire(key, ReplicaChartEvent::TargetRemoved);
        else if (gone_.contains(intent.order.instance))
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
    std::vector<TrackKey> revoked;
    if (entry.isListed)
        record.memoryMiB = entry.listedMiB;
    if (entry.hasLeft && !record.reservations.empty()) {
        record.reservations.clear();
        isChanged = true;
    }
    const std::set<Artifact> artifacts = entry.tracks;
    for (const Artifact &artifact : artifacts) {
        const TrackKey key {target, artifact};
        const Track &track = tracks_.at(key);
        const MemoryReservation *intent = findIntent(entry.object.record, track.order);
        const std::optional<ReservationPhase> phase = phaseOf(track.life.state());
        if (track.life.state() == ReplicaState::Reserving) {
            // After a foreign change the decision may have been revoked, so it must be repeated.
            const bool isPermitted = isActive() && entry.isListed && entry.object.version != 0
                && track.targetEpoch == entry.epoch;
            if (!isPermitted || reservedMiB(record) + track.memoryMiB > record.memoryMiB) {
                fire(key, ReplicaChartEvent::ReservationRefused);
                continue;
            }
            record.reservations.push_back(
                {track.order, artifact, track.memoryMiB, ReservationPhase::Recorded});
            isChanged = true;
        } else if (track.life.state() == ReplicaState::Releasing) {
            isChanged = std::erase_if(record.reservations,
                                      [&track](const MemoryReservation &each) {
                                          return each.order == track.order;
                                      })
                    > 0
                || isChanged;
        } else if (track.life.state() == ReplicaState::Revoking) {
            revoked.push_back(key);
            isChanged = true;
        } else if (isActive() && phase && intent && intent->phase != *phase) {
            for (MemoryReservation &each : record.reservations) {
                if (each.order == track.order)
                    each.phase = *phase;
            }
            isChanged = true;
        }
    }
    if (!isChanged)
        return;
    std::sort(record.reservations.begin(), record.reservations.end());
    record.writer = nextStamp();
    for (const TrackKey &key : revoked)
        tracks_.at(key).revocation = record.writer;
    writes_.emplace(record.writer, target);
    entry.pending = WriteTarget {entry.object.version, std::move(record)};
    actions_.emplace_back(*entry.pending);
}

} // namespace boragerack::decisions
