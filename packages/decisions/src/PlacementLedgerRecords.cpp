// Records of the ledger: which writes the replicas need and what the answers mean for them.
#include "PlacementLedgerState.h"

#include <algorithm>
#include <array>

namespace boragerack::decisions {

namespace {

bool hasEntry(const ModelRecord &record, const ReplicaEntry &entry)
{
    return std::find(record.replicas.begin(), record.replicas.end(), entry)
        != record.replicas.end();
}

/// The phase that the record must show for a replica in this state.
std::optional<IntentPhase> phaseOf(ReplicaState state)
{
    switch (state) {
    case ReplicaState::Ready:
        return IntentPhase::Ready;
    case ReplicaState::Draining:
        return IntentPhase::Draining;
    case ReplicaState::Unloading:
        return IntentPhase::Unloading;
    default:
        return std::nullopt;
    }
}

constexpr std::array kFoundEvents = {ReplicaEvent::FoundRecorded, ReplicaEvent::FoundReady,
                                     ReplicaEvent::FoundDraining, ReplicaEvent::FoundUnloading};

} // namespace

const Intent *findIntent(const TargetRecord &record, const Stamp &order)
{
    const auto found = std::find_if(record.intents.begin(), record.intents.end(),
                                    [&order](const Intent &each) { return each.order == order; });
    return found == record.intents.end() ? nullptr : &*found;
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
    for (auto &[artifact, entry] : models_) {
        if (!entry.pending || entry.pending->record.writer != event.write)
            continue;
        if (event.outcome == WriteOutcome::Unknown) {
            entry.isUncertain = true;
            return;
        }
        if (event.outcome == WriteOutcome::Applied) {
            acceptModel({event.version, entry.pending->record});
        } else if (event.model && event.model->version != 0) {
            acceptModel(*event.model);
        } else {
            entry.object = {};
        }
        entry.pending.reset();
        entry.isUncertain = false;
        dirtyModels_.insert(artifact);
        return;
    }
    for (auto &[target, entry] : targets_) {
        if (!entry.pending || entry.pending->record.writer != event.write)
            continue;
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
        return;
    }
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
            fire(key, ReplicaEvent::DecisionWritten);
        else if (track.life.state() == ReplicaState::Withdrawing && !isListed && !entry.pending)
            fire(key, ReplicaEvent::DecisionWithdrawn);
    }
    if (!isActive())
        return;
    for (const ReplicaEntry &replica : entry.object.record.replicas) {
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
        const ReplicaEntry replica {target, track.order};
        if (track.life.state() == ReplicaState::Withdrawing) {
            isChanged = std::erase(record.replicas, replica) > 0 || isChanged;
        } else if (track.life.state() == ReplicaState::Deciding) {
            // A decision that met another planner's is dropped; the caller decides again with
            // what the platform says now.
            if (!isActive() || track.isDecisionAttempted) {
                fire(key, ReplicaEvent::DecisionLost);
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
        const Intent *intent = findIntent(entry.object.record, track.order);
        if (isForeign && intent)
            followPhase(key, intent->phase);
        switch (track.life.state()) {
        case ReplicaState::Reserving:
            if (intent)
                fire(key, ReplicaEvent::IntentWritten);
            break;
        case ReplicaState::Revoking:
            if (intent)
                fire(key, ReplicaEvent::IntentFound);
            else if (entry.object.record.writer == track.revocation)
                fire(key, ReplicaEvent::TargetWritten);
            break;
        case ReplicaState::Loading:
        case ReplicaState::Ready:
        case ReplicaState::Draining:
        case ReplicaState::Unloading:
        case ReplicaState::Releasing:
            // Only another planner can have removed the intent of a replica in use.
            if (!intent)
                fire(key, ReplicaEvent::IntentReleased);
            else if (intent->phase == IntentPhase::Unloading && !track.unload
                     && track.life.state() == ReplicaState::Unloading)
                fire(key, ReplicaEvent::UnloadWritten);
            break;
        default:
            break;
        }
    }
}

void PlacementLedger::followPhase(const TrackKey &key, IntentPhase phase)
{
    const ReplicaState state = tracks_.at(key).life.state();
    if (phase == IntentPhase::Ready && state == ReplicaState::Loading)
        fire(key, ReplicaEvent::WeightsReady);
    else if (phase == IntentPhase::Ready && state == ReplicaState::Draining)
        fire(key, ReplicaEvent::DrainCancelled);
    else if (phase == IntentPhase::Draining && state == ReplicaState::Ready)
        fire(key, ReplicaEvent::Drain);
    else if (phase == IntentPhase::Unloading && state != ReplicaState::Unloading)
        fire(key, ReplicaEvent::Supersede);
}

void PlacementLedger::adoptIntents(const core::TargetId &target)
{
    if (!isActive())
        return;
    const std::vector<Intent> intents = targets_[target].object.record.intents;
    for (const Intent &intent : intents) {
        const TrackKey key {target, intent.artifact};
        if (tracks_.contains(key))
            continue;
        addTrack(key, intent.order, intent.memoryMiB);
        orphans_.erase(key);
        fire(key, kFoundEvents.at(static_cast<std::size_t>(intent.phase)));
        // These phases are written only after the engine has reported the weights as ready.
        if (intent.phase == IntentPhase::Ready || intent.phase == IntentPhase::Draining)
            fire(key, OrderEvent::EngineSaw);
        if (targets_[target].hasLeft)
            fire(key, ReplicaEvent::TargetLeft);
        else if (gone_.contains(intent.order.instance))
            fire(key, OrderEvent::OrdererGone);
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
    if (entry.hasLeft && !record.intents.empty()) {
        record.intents.clear();
        isChanged = true;
    }
    const std::set<Artifact> artifacts = entry.tracks;
    for (const Artifact &artifact : artifacts) {
        const TrackKey key {target, artifact};
        const Track &track = tracks_.at(key);
        const auto intent =
            std::find_if(record.intents.begin(), record.intents.end(),
                         [&track](const Intent &each) { return each.order == track.order; });
        const std::optional<IntentPhase> phase = phaseOf(track.life.state());
        if (track.life.state() == ReplicaState::Reserving) {
            // After a foreign change the decision may have been revoked, so it must be repeated.
            const bool isPermitted = isActive() && entry.isListed && entry.object.version != 0
                && track.targetEpoch == entry.epoch;
            if (!isPermitted || reservedMiB(record) + track.memoryMiB > record.memoryMiB) {
                fire(key, ReplicaEvent::IntentRefused);
                continue;
            }
            record.intents.push_back(
                {track.order, artifact, track.memoryMiB, IntentPhase::Recorded});
            isChanged = true;
        } else if (track.life.state() == ReplicaState::Releasing) {
            isChanged =
                std::erase_if(record.intents,
                              [&track](const Intent &each) { return each.order == track.order; })
                    > 0
                || isChanged;
        } else if (track.life.state() == ReplicaState::Revoking) {
            revoked.push_back(key);
            isChanged = true;
        } else if (isActive() && phase && intent != record.intents.end()
                   && intent->phase != *phase) {
            intent->phase = *phase;
            isChanged = true;
        }
    }
    if (!isChanged)
        return;
    std::sort(record.intents.begin(), record.intents.end());
    record.writer = nextStamp();
    for (const TrackKey &key : revoked)
        tracks_.at(key).revocation = record.writer;
    entry.pending = WriteTarget {entry.object.version, std::move(record)};
    actions_.emplace_back(*entry.pending);
}

PlacementLedger::Replica PlacementLedger::makeReplica(const Track &track)
{
    return {track.order, track.memoryMiB, track.life.state(), track.life.orderState(), track.since};
}

std::optional<PlacementLedger::Replica>
PlacementLedger::findReplica(const Artifact &artifact, const core::TargetId &target) const
{
    const auto found = tracks_.find({target, artifact});
    if (found == tracks_.end())
        return std::nullopt;
    return makeReplica(found->second);
}

std::vector<std::pair<core::TargetId, PlacementLedger::Replica>>
PlacementLedger::replicasOf(const Artifact &artifact) const
{
    std::vector<std::pair<core::TargetId, Replica>> replicas;
    if (const auto model = models_.find(artifact); model != models_.end()) {
        for (const core::TargetId &target : model->second.tracks)
            replicas.emplace_back(target, makeReplica(tracks_.at({target, artifact})));
    }
    return replicas;
}

std::vector<std::pair<Artifact, PlacementLedger::Replica>>
PlacementLedger::replicasOn(const core::TargetId &target) const
{
    std::vector<std::pair<Artifact, Replica>> replicas;
    if (const auto entry = targets_.find(target); entry != targets_.end()) {
        for (const Artifact &artifact : entry->second.tracks)
            replicas.emplace_back(artifact, makeReplica(tracks_.at({target, artifact})));
    }
    return replicas;
}

std::optional<PlacementLedger::Target>
PlacementLedger::findTarget(const core::TargetId &target) const
{
    const auto found = targets_.find(target);
    if (found == targets_.end())
        return std::nullopt;
    const TargetEntry &entry = found->second;
    std::uint64_t reserved = reservedMiB(entry.object.record);
    for (const Artifact &artifact : entry.tracks) {
        const Track &track = tracks_.at({target, artifact});
        if (!findIntent(entry.object.record, track.order)
            && (track.life.state() == ReplicaState::Deciding
                || track.life.state() == ReplicaState::Reserving))
            reserved += track.memoryMiB;
    }
    return Target {entry.listedMiB, reserved,        entry.checksFencing,
                   entry.isListed,  entry.isLeaving, entry.object.version != 0};
}

bool PlacementLedger::hasUnknownDecision(const Artifact &artifact) const
{
    const auto model = models_.find(artifact);
    if (model == models_.end())
        return false;
    const auto &replicas = model->second.object.record.replicas;
    return std::any_of(replicas.begin(), replicas.end(), [&](const ReplicaEntry &entry) {
        return !tracks_.contains({entry.target, artifact});
    });
}

bool PlacementLedger::hasAdapters(const Artifact &base, const core::TargetId &target) const
{
    const auto entry = targets_.find(target);
    if (entry == targets_.end())
        return false;
    // Adapters follow their model in the order of artifacts.
    const auto next = entry->second.tracks.upper_bound(base.base());
    return next != entry->second.tracks.end() && next->base() == base.base();
}

} // namespace boragerack::decisions
