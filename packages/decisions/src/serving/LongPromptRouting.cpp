#include "boragerack/decisions/serving/LongPromptRouting.h"

#include <algorithm>
#include <iterator>

#include "boragerack/core/RendezvousHash.h"

namespace boragerack::decisions {

namespace {

/// The replica that has probably read the shared parts is preferred as long as it has at most this
/// many more reads under way than the least. A read of the shared parts takes less than two reads
/// of the rest.
constexpr std::uint32_t kMaxExtraReads = 2;
/// Engines keep some 200,000 tokens, so no prompt is longer. A caller that states more would keep
/// the largest set of replicas for longer.
constexpr std::uint32_t kMaxPromptTokens = 200'000;

/// Short prompts go to any replica if the others have more requests under way than the chosen ones
/// by this part of their slots.
constexpr std::uint32_t kRoomDivisor = 3;

std::vector<core::TargetId>
targetsOf(const std::vector<const LongPromptRouting::Replica *> &replicas)
{
    std::vector<core::TargetId> targets;
    targets.reserve(replicas.size());
    for (const LongPromptRouting::Replica *replica : replicas)
        targets.push_back(replica->target);
    return targets;
}

std::uint32_t leastUnderWay(const std::vector<const LongPromptRouting::Replica *> &replicas)
{
    return (*std::ranges::min_element(replicas, {}, &LongPromptRouting::Replica::underWay))
        ->underWay;
}

bool areFull(const std::vector<const LongPromptRouting::Replica *> &replicas, std::uint32_t slots)
{
    return std::ranges::all_of(replicas,
                               [&](const auto *replica) { return replica->underWay > slots; });
}

} // namespace

bool LongPromptRouting::isLong(const InteractiveService &service, const RequestWork &work)
{
    return work.promptTokens > service.longPromptTokens();
}

std::uint64_t LongPromptRouting::countedTokens(const RequestWork &work)
{
    return std::min(work.promptTokens, kMaxPromptTokens);
}

std::vector<core::TargetId> LongPromptRouting::narrow(const Prompt &prompt, std::uint32_t slots,
                                                      const std::vector<Replica> &replicas) const
{
    Replicas chosen;
    Replicas others;
    for (const Replica &replica : replicas) {
        if (!replica.isSuspected)
            (replica.isChosen ? chosen : others).push_back(&replica);
    }
    if (prompt.isLong)
        return narrowLong(prompt, slots, chosen, others);
    if (chosen.empty() || others.empty() || areFull(others, slots))
        return {};
    // The chosen replicas read long prompts for a third of their time at most, so they have room
    // for other requests. In a trial with 24 slots and 15 requests per second and replica, 291 of
    // 21,074 short requests were late without this rule, and at most 8 with it.
    if (leastUnderWay(others) > leastUnderWay(chosen) + slots / kRoomDivisor)
        return {};
    return targetsOf(others);
}

std::vector<core::TargetId> LongPromptRouting::narrowLong(const Prompt &prompt, std::uint32_t slots,
                                                          const Replicas &chosen,
                                                          const Replicas &others) const
{
    if (chosen.empty())
        return withoutReads(others);
    // The chosen replicas may also run requests for other models. Queueing there makes a long
    // request late as well.
    if (areFull(chosen, slots) && !areFull(others, slots))
        return {};
    if (prompt.shared == 0 || chosen.size() == 1)
        return targetsOf(chosen);
    const Replica *preferred = *std::ranges::max_element(chosen, {}, [&](const Replica *replica) {
        return core::stableHash(replica->target.value, prompt.shared);
    });
    const auto readsOf = [this](const Replica *replica) { return reads(replica->target); };
    const std::uint32_t least = readsOf(*std::ranges::min_element(chosen, {}, readsOf));
    const bool isFull = preferred->underWay > slots && !areFull(chosen, slots);
    if (readsOf(preferred) <= least + kMaxExtraReads && !isFull)
        return {preferred->target};
    Replicas rest = chosen;
    std::erase(rest, preferred);
    return targetsOf(rest);
}

std::vector<core::TargetId> LongPromptRouting::withoutReads(const Replicas &replicas) const
{
    Replicas free;
    std::ranges::copy_if(replicas, std::back_inserter(free),
                         [this](const Replica *replica) { return reads(replica->target) == 0; });
    return free.size() == replicas.size() ? std::vector<core::TargetId>() : targetsOf(free);
}

void LongPromptRouting::begin(std::uint64_t request, const core::TargetId &target)
{
    reads_.insert_or_assign(request, target);
}

std::uint32_t LongPromptRouting::reads(const core::TargetId &target) const
{
    return static_cast<std::uint32_t>(
        std::ranges::count(reads_, target, &decltype(reads_)::value_type::second));
}

} // namespace boragerack::decisions
