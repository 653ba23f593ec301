#include "boragerack/decisions/serving/LongPromptPlanner.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "boragerack/core/RendezvousHash.h"
#include "boragerack/decisions/serving/InteractiveService.h"

namespace boragerack::decisions {

namespace {

/// Replicas read long prompts for less than this part of their time. A read that comes at random
/// then finds another one under way in less than one of three cases.
constexpr double kMaxBusyShare = 1.0 / 3;
/// Replicas are released this long after fewer became sufficient. Demand varies at random within
/// seconds, and each change of the set makes shared parts of prompts cold.
constexpr std::chrono::seconds kReleaseDelay(5);
/// Fewer tokens keep an engine busy for less than a four-hundredth of its time, which delays too
/// few short requests to keep them off a replica.
constexpr double kMinTokensPerSecond = 100;
/// Far more replicas than any model has; keeps the number in the range of its type.
constexpr double kMaxNeeded = 1e6;

std::uint32_t neededReplicas(double tokensPerSecond)
{
    if (tokensPerSecond < kMinTokensPerSecond)
        return 0;
    const double busyReplicas = tokensPerSecond / (kReadTokensPerMs * 1000.0);
    return static_cast<std::uint32_t>(std::min(busyReplicas / kMaxBusyShare, kMaxNeeded)) + 1;
}

/// Rendezvous hashing: a change of the number or of the replicas moves few others.
std::vector<core::TargetId> selectTargets(const core::ModelId &model,
                                          const std::vector<core::TargetId> &ready,
                                          std::size_t count)
{
    const std::uint64_t seed = core::stableHash(model.value);
    std::vector<std::pair<std::uint64_t, core::TargetId>> weighted;
    weighted.reserve(ready.size());
    for (const core::TargetId &target : ready)
        weighted.emplace_back(core::stableHash(target.value, seed), target);
    std::ranges::sort(weighted, std::ranges::greater());
    std::vector<core::TargetId> selected;
    for (std::size_t i = 0; i < std::min(count, weighted.size()); ++i)
        selected.push_back(std::move(weighted[i].second));
    std::ranges::sort(selected);
    return selected;
}

} // namespace

void LongPromptPlanner::adjust(Count &count, std::uint32_t needed, core::TimePoint now)
{
    if (needed >= count.held) {
        count = {.held = needed, .fellAt = std::nullopt, .mostSince = 0};
        return;
    }
    if (!count.fellAt) {
        count.fellAt = now;
        count.mostSince = 0;
    }
    count.mostSince = std::max(count.mostSince, needed);
    if (now - *count.fellAt >= kReleaseDelay)
        count = {.held = count.mostSince, .fellAt = std::nullopt, .mostSince = 0};
}

std::vector<LongPromptChoice> LongPromptPlanner::update(const Work &work, core::TimePoint now)
{
    for (const auto &[model, prompts] : work)
        counts_.try_emplace(model);
    std::vector<LongPromptChoice> changes;
    for (auto &[model, count] : counts_) {
        const auto position = work.find(model);
        const LongPromptWork prompts = position == work.end() ? LongPromptWork() : position->second;
        adjust(count, neededReplicas(prompts.tokensPerSecond), now);
        // At most half of the replicas, so that a single one is never chosen.
        auto targets = selectTargets(model, prompts.ready,
                                     std::min<std::size_t>(count.held, prompts.ready.size() / 2));
        const auto known = choices_.find(model);
        if (targets == (known == choices_.end() ? std::vector<core::TargetId>() : known->second))
            continue;
        changes.push_back({model, targets});
        if (targets.empty())
            choices_.erase(model);
        else
            choices_.insert_or_assign(model, std::move(targets));
    }
    std::erase_if(counts_, [](const auto &item) { return item.second.held == 0; });
    return changes;
}

std::map<core::TargetId, std::vector<core::ModelId>> LongPromptPlanner::modelsByTarget() const
{
    std::map<core::TargetId, std::vector<core::ModelId>> models;
    for (const auto &[model, targets] : choices_) {
        for (const core::TargetId &target : targets)
            models[target].push_back(model);
    }
    return models;
}

} // namespace boragerack::decisions
