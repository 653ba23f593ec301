#pragma once

#include "boragerack/decisions/PlacementPolicy.h"

namespace boragerack::decisions {

/// Loads on the target with the lowest expected cost of the load and of the evictions it needs. The
/// hold time of an idle replica is proportional to the cost of loading it again.
class WarmestCheckpointPolicy final : public PlacementPolicy
{
public:
    struct Settings
    {
        /// Hold time as a multiple of the reload cost.
        double holdFactor = 200;
        core::Duration minHold = std::chrono::minutes(10);
        core::Duration maxHold = std::chrono::hours(4);
        /// Memory use above which the hold time is reduced, down to a quarter at full memory.
        double pressureStart = 0.95;
        /// Idle time after which the probability that a replica is used again is 1/2.
        core::Duration halfUse = std::chrono::minutes(10);
        /// Time to drain and unload the evicted replicas.
        core::Duration evictionCost = std::chrono::milliseconds(1500);

        friend bool operator==(const Settings &, const Settings &) = default;
    };

    explicit WarmestCheckpointPolicy(const Settings &settings);

    std::optional<PlacementChoice> choose(std::uint64_t memoryMiB,
                                          std::span<const TargetOffer> offers,
                                          core::TimePoint now) const override;
    core::Duration holdTime(const HoldRequest &request) const override;

private:
    Settings settings_;
};

} // namespace boragerack::decisions
