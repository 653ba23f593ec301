// The replicas that read long prompts.

#include "boragerack/decisions/serving/SwapPlanner.h"

namespace boragerack::decisions {

LongPromptPlanner::Work SwapPlanner::longPromptWork(core::TimePoint now) const
{
    LongPromptPlanner::Work work;
    for (const auto &[model, rate] : demandTracker_.longPromptRates(now))
        work[model].tokensPerSecond = rate;
    if (work.empty())
        return work;
    for (const auto &[id, target] : targets_) {
        // A target that accepts requests at a limited rate only could not read them in time.
        if (!target.tracker.entry().acceptsWork() || rateOf(target))
            continue;
        for (const auto &[model, holding] : target.tracker.holdings()) {
            if (const auto position = work.find(model);
                position != work.end() && target.tracker.serves(model))
                position->second.ready.push_back(id);
        }
    }
    return work;
}

void SwapPlanner::chooseLongPromptTargets(core::TimePoint now)
{
    const LongPromptPlanner::Work work = longPromptWork(now);
    if (work.empty() && longPromptPlanner_.isIdle())
        return;
    for (LongPromptChoice &choice : longPromptPlanner_.update(work, now))
        changedLongPromptChoices_.push_back(std::move(choice));
    // Also for choices that did not change: the process of a target may be a new one.
    auto chosen = longPromptPlanner_.modelsByTarget();
    for (auto &[id, target] : targets_) {
        if (std::vector<core::ModelId> &models = chosen[id]; target.longPromptModels != models) {
            target.longPromptModels = std::move(models);
            ++target.longPromptChanges;
        }
    }
}

} // namespace boragerack::decisions
