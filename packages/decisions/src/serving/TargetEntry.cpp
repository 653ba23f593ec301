#include "boragerack/decisions/serving/TargetEntry.h"

#include <algorithm>

namespace boragerack::decisions {

bool TargetEntry::holds(const Artifact &artifact) const
{
    const auto replica = std::ranges::find(replicas, artifact.model, &ModelReplica::model);
    if (replica == replicas.end())
        return false;
    return !artifact.isAdapter()
        || std::ranges::find(replica->adapters, artifact.adapter) != replica->adapters.end();
}

bool TargetEntry::hasInMemory(const core::ModelId &model) const
{
    return std::ranges::find(inMemory, model) != inMemory.end();
}

bool TargetEntry::hasOnDisk(const core::ModelId &model) const
{
    return std::ranges::find(onDisk, model) != onDisk.end();
}

bool isListed(const TargetEntries &entries, const TargetProcess &process)
{
    const auto position = entries.find(process.target);
    return position != entries.end() && position->second.startedAt == process.startedAt;
}

} // namespace boragerack::decisions
