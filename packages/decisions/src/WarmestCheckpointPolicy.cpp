#include "boragerack/decisions/WarmestCheckpointPolicy.h"

#include <algorithm>
#include <tuple>

namespace boragerack::decisions {

namespace {

using Seconds = std::chrono::duration<double>;

/// Expected cost in seconds of evicting an idle replica: the reload cost times the probability of
/// another use, which decreases with the idle time.
double expectedReloadSeconds(const IdleReplica &replica, core::TimePoint now,
                             core::Duration halfUse)
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
        std::uint64_t freeMiB = offer.freeMiB;
        if (freeMiB < memoryMiB) {
            std::vector<IdleReplica> idle = offer.idle;
            std::sort(idle.begin(), idle.end(), [&](const IdleReplica &a, const IdleReplica &b) {
                return expectedReloadSeconds(a, now, settings_.halfUse)
                    * static_cast<double>(b.memoryMiB)
                    < expectedReloadSeconds(b, now, settings_.halfUse)
                    * static_cast<double>(a.memoryMiB);
            });
            cost += Seconds(settings_.evictionCost).count();
            for (const IdleReplica &replica : idle) {
                if (freeMiB >= memoryMiB)
                    break;
                freeMiB += replica.memoryMiB;
                cost += expectedReloadSeconds(replica, now, settings_.halfUse);
                choice.evicted.push_back(replica.artifact);
            }
            if (freeMiB < memoryMiB)
                continue;
        }
        // With equal costs, a target with a cache makes later loads cheaper, and the tightest fit
        // keeps large free blocks for large models.
        const std::tuple rank {cost, !offer.hasCache, freeMiB - memoryMiB};
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
