#include "KnowledgeModelStore.h"

namespace boragerack::decisions::testing {

const core::TargetId kLeavingTarget {"a"};
const core::TargetId kJoiningTarget {"c"};

void KnowledgeModelStore::change(const core::TargetId &target)
{
    now += kModelTick;
    const bool isListed = !has(target);
    history[target].push_back({now, isListed});
    if (isListed)
        ++heartbeats[target];
}

TargetEntry KnowledgeModelStore::entryOf(const core::TargetId &target) const
{
    TargetEntry entry;
    entry.target = target;
    entry.startedAt = 1;
    return entry;
}

std::vector<TargetEntry> KnowledgeModelStore::entries() const
{
    std::vector<TargetEntry> result;
    for (const auto &[target, presences] : history) {
        if (has(target))
            result.push_back(entryOf(target));
    }
    return result;
}

bool KnowledgeModelStore::wasEver(const core::TargetId &target, bool isListed,
                                  core::TimePoint since) const
{
    const auto &presences = history.at(target);
    for (std::size_t i = 0; i < presences.size(); ++i) {
        const bool isOver = i + 1 < presences.size() && presences[i + 1].since <= since;
        if (!isOver && presences[i].isListed == isListed)
            return true;
    }
    return false;
}

} // namespace boragerack::decisions::testing
