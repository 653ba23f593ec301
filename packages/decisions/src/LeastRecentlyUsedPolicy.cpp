#include "boragerack/decisions/LeastRecentlyUsedPolicy.h"

#include <algorithm>

namespace boragerack::decisions {

LeastRecentlyUsedPolicy::LeastRecentlyUsedPolicy(core::Duration hold)
    : hold_(hold)
{
}

std::optional<PlacementChoice> LeastRecentlyUsedPolicy::choose(std::uint64_t memoryMiB,
                                                               std::span<const TargetOffer> offers,
                                                               core::TimePoint) const
{
    const TargetOffer *mostFree = nullptr;
    for (const TargetOffer &offer : offers) {
        if (offer.freeMiB >= memoryMiB && (!mostFree || offer.freeMiB > mostFree->freeMiB))
            mostFree = &offer;
    }
    if (mostFree)
        return PlacementChoice {mostFree->target, {}};

    // Selects the target whose most recently used evicted replica has been idle longest.
    std::optional<PlacementChoice> best;
    core::TimePoint bestEvictedUse = core::TimePoint::max();
    for (const TargetOffer &offer : offers) {
        std::vector<IdleReplica> idle = offer.idle;
        std::sort(idle.begin(), idle.end(), [](const IdleReplica &left, const IdleReplica &right) {
            return left.lastUsed < right.lastUsed;
        });
        PlacementChoice choice {offer.target, {}};
        std::uint64_t freeMiB = offer.freeMiB;
        core::TimePoint lastEvictedUse = core::TimePoint::min();
        for (const IdleReplica &replica : idle) {
            if (freeMiB >= memoryMiB)
                break;
            freeMiB += replica.memoryMiB;
            lastEvictedUse = replica.lastUsed;
            choice.evicted.push_back(replica.artifact);
        }
        if (freeMiB >= memoryMiB && lastEvictedUse < bestEvictedUse) {
            bestEvictedUse = lastEvictedUse;
            best = std::move(choice);
        }
    }
    return best;
}

core::Duration LeastRecentlyUsedPolicy::holdTime(const HoldRequest &) const
{
    return hold_;
}

} // namespace boragerack::decisions
