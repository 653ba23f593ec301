#include "boragerack/decisions/WarmestCheckpointPolicy.h"

#include <algorithm>
#include <tuple>

namespace boragerack::decisions {

namespace {

using Seconds = std::chrono::duration<double>;

/// Expected cost of unloading an idle replica: its reload, weighted with how likely it is to be
/// needed again, which falls with the time it has been idle.
double evictionLoss(const IdleReplica &replica, core::TimePoint now, core::Duration halfUse)
{
    const double half = Seconds(halfUse).count();
    const double idle = Seconds(now - replica.lastUsed).count();
    return Seconds(replica.reloadCost).count() * half / (half + idle);
}

} // namespace

WarmestCheckpointPolicy::WarmestCheckpointPolicy(const Settings &settings)
    : settings_(settings)
{
}

std::optional<PlacementChoice> WarmestCheckpointPolicy::choose(std::uint64_t memoryMiB,
                                                               std::span<const TargetOffer> offers,
                                                               core::TimePoint now) const
{
    std::optional<PlacementChoice> best;
    std::tuple<double, bool, std::uint64_t> bestRank;
    for (const TargetOffer &offer : offers) {
        PlacementChoice choice {offer.target, {}};
        double cost = Seconds(offer.loadCost).count();
        std::uint64_t room = offer.freeMiB;
        if (room < memoryMiB) {
            std::vector<IdleReplica> idle = offer.idle;
            std::sort(idle.begin(), idle.end(), [&](const IdleReplica &a, const IdleReplica &b) {
                return evictionLoss(a, now, settings_.halfUse) * static_cast<double>(b.memoryMiB)
                    < evictionLoss(b, now, settings_.halfUse) * static_cast<double>(a.memoryMiB);
            });
            cost += Seconds(settings_.evictionCost).count();
            for (const IdleReplica &replica : idle) {
                if (room >= memoryMiB)
                    break;
                room += replica.memoryMiB;
                cost += evictionLoss(replica, now, settings_.halfUse);
                choice.evicted.push_back(replica.artifact);
            }
            if (room < memoryMiB)
                continue;
        }
        // Among equals, a target with a cache makes the next load cheaper, and the tightest fit
        // keeps large gaps for large models.
        const std::tuple rank {cost, !offer.hasCache, room - memoryMiB};
        if (!best || rank < bestRank) {
            bestRank = rank;
            best = std::move(choice);
        }
    }
    return best;
}

core::Duration WarmestCheckpointPolicy::holdTime(const HoldRequest &request) const
{
    const auto hold = std::clamp(
        std::chrono::duration_cast<core::Duration>(request.reloadCost * settings_.holdFactor),
        settings_.minHold, settings_.maxHold);
    if (request.memoryUse <= settings_.pressureStart)
        return hold;
    const double pressure =
        (request.memoryUse - settings_.pressureStart) / (1 - settings_.pressureStart);
    return std::chrono::duration_cast<core::Duration>(hold * (1 - 0.75 * std::min(1.0, pressure)));
}

} // namespace boragerack::decisions
