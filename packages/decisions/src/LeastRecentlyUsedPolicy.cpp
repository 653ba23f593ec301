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
    const TargetOffer *roomiest = nullptr;
    for (const TargetOffer &offer : offers) {
        if (offer.freeMiB >= memoryMiB && (!roomiest || offer.freeMiB > roomiest->freeMiB))
            roomiest = &offer;
    }
    if (roomiest)
        return PlacementChoice {roomiest->target, {}};

    // The best target is the one whose most recently used victim is oldest.
    std::optional<PlacementChoice> best;
    core::TimePoint bestUse = core::TimePoint::max();
    for (const TargetOffer &offer : offers) {
        std::vector<IdleReplica> idle = offer.idle;
        std::sort(idle.begin(), idle.end(), [](const IdleReplica &left, const IdleReplica &right) {
            return left.lastUsed < right.lastUsed;
        });
        PlacementChoice choice {offer.target, {}};
        std::uint64_t room = offer.freeMiB;
        core::TimePoint lastUse = core::TimePoint::min();
        for (const IdleReplica &replica : idle) {
            if (room >= memoryMiB)
                break;
            room += replica.memoryMiB;
            lastUse = replica.lastUsed;
            choice.evicted.push_back(replica.artifact);
        }
        if (room >= memoryMiB && lastUse < bestUse) {
            bestUse = lastUse;
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
