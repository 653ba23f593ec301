#include "PlacementFakes.h"

#include <algorithm>

namespace boragerack::decisions {

namespace {

constexpr std::size_t kMaxReportedOrders = 100;

template<class Record>
FakeRecordStore::PutResult<Record> putObject(Versioned<Record> &object, std::uint64_t ifVersion,
                                             const Record &record, bool isConditional,
                                             std::uint64_t &revision)
{
    if (isConditional && object.version != ifVersion)
        return {false, object};
    object = {++revision, record};
    return {true, object};
}

} // namespace

FakeRecordStore::PutResult<ModelRecord> FakeRecordStore::put(const WriteModel &write,
                                                             bool isConditional)
{
    return putObject(models_[write.record.artifact], write.ifVersion, write.record, isConditional,
                     revision_);
}

FakeRecordStore::PutResult<TargetRecord> FakeRecordStore::put(const WriteTarget &write,
                                                              bool isConditional)
{
    return putObject(targets_[write.record.target], write.ifVersion, write.record, isConditional,
                     revision_);
}

PlatformSnapshot FakeRecordStore::list() const
{
    PlatformSnapshot snapshot {revision_, {}, {}};
    for (const auto &[artifact, object] : models_) {
        if (object.version != 0)
            snapshot.models.push_back(object);
    }
    for (const auto &[target, object] : targets_) {
        if (object.version != 0)
            snapshot.targets.push_back(object);
    }
    return snapshot;
}

bool FakeRecordStore::isDecided(const Artifact &artifact, const ReplicaDecision &entry) const
{
    const auto found = models_.find(artifact);
    if (found == models_.end())
        return false;
    const auto &replicas = found->second.record.replicas;
    return std::find(replicas.begin(), replicas.end(), entry) != replicas.end();
}

std::size_t FakeRecordStore::decidedCount(const Artifact &artifact) const
{
    const auto found = models_.find(artifact);
    return found == models_.end() ? 0 : found->second.record.replicas.size();
}

void FakeEngine::Cache::put(const Artifact &artifact, std::uint64_t memoryMiB,
                            std::uint64_t limitMiB)
{
    std::erase_if(entries, [&artifact](const auto &entry) { return entry.first == artifact; });
    entries.emplace_back(artifact, memoryMiB);
    std::uint64_t totalMiB = 0;
    for (const auto &entry : entries)
        totalMiB += entry.second;
    while (totalMiB > limitMiB) {
        totalMiB -= entries.front().second;
        entries.erase(entries.begin());
    }
}

bool FakeEngine::Cache::contains(const Artifact &artifact) const
{
    return std::any_of(entries.begin(), entries.end(),
                       [&artifact](const auto &entry) { return entry.first == artifact; });
}

OrderOutcome FakeEngine::receive(const SendOrder &order)
{
    if (std::find(orders_.begin(), orders_.end(), order.order) == orders_.end())
        orders_.push_back(order.order);
    if (orders_.size() > kMaxReportedOrders)
        orders_.erase(orders_.begin());
    if (settings_.checksFencing) {
        if (order.fence < highestFence_)
            return OrderOutcome::StaleFence;
        highestFence_ = order.fence;
    }
    if (order.kind == OrderKind::Load) {
        loaded_.push_back({order.artifact, WeightsState::Loading, order.memoryMiB, order.order});
    } else {
        for (LoadedWeights &weights : loaded_) {
            if (weights.artifact == order.artifact)
                weights.state = WeightsState::Unloading;
        }
    }
    return OrderOutcome::Accepted;
}

void FakeEngine::finishLoad(const OperationId &order)
{
    for (LoadedWeights &weights : loaded_) {
        if (weights.order != order || weights.state != WeightsState::Loading)
            continue;
        weights.state = WeightsState::Ready;
        if (!weights.artifact.isAdapter()) {
            disk_.put(weights.artifact, weights.memoryMiB, settings_.diskCacheMiB);
            memory_.put(weights.artifact, weights.memoryMiB, settings_.memoryCacheMiB);
        }
    }
}

void FakeEngine::finishUnload(const Artifact &artifact)
{
    std::erase_if(loaded_, [&artifact](const LoadedWeights &weights) {
        return weights.artifact == artifact && weights.state == WeightsState::Unloading;
    });
}

void FakeEngine::crash()
{
    loaded_.clear();
    orders_.clear();
    memory_.entries.clear();
}

CheckpointTier FakeEngine::placeOf(const Artifact &artifact) const
{
    if (memory_.contains(artifact))
        return CheckpointTier::Memory;
    return disk_.contains(artifact) ? CheckpointTier::Disk : CheckpointTier::Remote;
}

std::uint64_t FakeEngine::usedMiB() const
{
    std::uint64_t totalMiB = 0;
    for (const LoadedWeights &weights : loaded_)
        totalMiB += weights.memoryMiB;
    return totalMiB;
}

EngineReport FakeEngine::report() const
{
    EngineReport report {settings_.memoryMiB, usedMiB(), false, loaded_, orders_, {}};
    for (const auto &[artifact, memoryMiB] : memory_.entries)
        report.cached.push_back({artifact, CheckpointTier::Memory});
    for (const auto &[artifact, memoryMiB] : disk_.entries)
        report.cached.push_back({artifact, CheckpointTier::Disk});
    return report;
}

} // namespace boragerack::decisions
