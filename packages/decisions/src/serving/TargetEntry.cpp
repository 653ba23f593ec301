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

} // namespace boragerack::decisions
