#include "boragerack/decisions/Artifact.h"

namespace boragerack::decisions {

std::string modelKey(const Artifact &artifact)
{
    std::string key = "models/" + artifact.model.value + '@' + artifact.version;
    if (artifact.isAdapter())
        key += ':' + artifact.adapter.value;
    return key;
}

std::string targetKey(const core::TargetId &target)
{
    return "targets/" + target.value;
}

} // namespace boragerack::decisions
