// What the length of a prompt excludes.

#include <algorithm>

#include "boragerack/core/RendezvousHash.h"
#include "boragerack/decisions/ReplicaSelector.h"
#include "boragerack/decisions/serving/RequestRouter.h"

namespace boragerack::decisions {

namespace {

/// An engine keeps shared parts for each model and adapter. Zero if the prompt shares no part.
std::uint64_t hashShared(const RouteRequirements &demand)
{
    if (demand.sharedParts == 0)
        return 0;
    return core::stableHash(demand.artifact->adapter.value,
                            core::stableHash(demand.artifact->model.value, demand.sharedParts));
}

} // namespace

const InteractiveService *RequestRouter::interactiveService(const RouteRequirements &demand) const
{
    const auto position = interactive_.find(demand.service);
    return position == interactive_.end() || !demand.artifact ? nullptr : &position->second;
}

bool RequestRouter::isLongPrompt(const RouteRequirements &demand) const
{
    const InteractiveService *service = interactiveService(demand);
    return service && LongPromptRouting::isLong(*service, demand.work);
}

bool RequestRouter::readsLongPrompts(const TargetEntry &entry, const core::ModelId &model) const
{
    const auto placed = placements_.find(entry.target);
    return !arePlacementsOutdated_ && placed != placements_.end()
        && placed->second.startedAt == entry.startedAt
        && std::ranges::find(placed->second.longPromptModels, model)
        != placed->second.longPromptModels.end();
}

void RequestRouter::narrowByPromptLength(const RouteRequirements &demand,
                                         std::vector<const TargetEntry *> &candidates,
                                         std::vector<ReplicaCandidate> &replicas) const
{
    const InteractiveService *service = interactiveService(demand);
    if (!service)
        return;
    std::vector<LongPromptRouting::Replica> options;
    options.reserve(replicas.size());
    for (std::size_t i = 0; i < replicas.size(); ++i) {
        const ReplicaCandidate &replica = replicas[i];
        const bool hasFailed =
            std::ranges::find(demand.avoid, replica.target) != demand.avoid.end();
        options.push_back({replica.target, std::max(replica.outstanding, replica.reported),
                           replica.isSuspected || hasFailed,
                           readsLongPrompts(*candidates[i], demand.artifact->model)});
    }
    const auto kept =
        longPrompts_.narrow({LongPromptRouting::isLong(*service, demand.work), hashShared(demand)},
                            service->slots, options);
    if (kept.empty())
        return;
    const auto isExcluded = [&](const core::TargetId &target) {
        return std::ranges::find(kept, target) == kept.end();
    };
    std::erase_if(candidates, [&](const TargetEntry *entry) { return isExcluded(entry->target); });
    std::erase_if(replicas,
                  [&](const ReplicaCandidate &replica) { return isExcluded(replica.target); });
}

std::size_t RequestRouter::longPromptTargets() const
{
    if (arePlacementsOutdated_)
        return 0;
    return static_cast<std::size_t>(std::ranges::count_if(
        placements_, [](const auto &item) { return !item.second.longPromptModels.empty(); }));
}

} // namespace boragerack::decisions
