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

} // namespace boragerack::decisions
