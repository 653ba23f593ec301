#pragma once

#include "boragerack/decisions/PlacementPolicy.h"

namespace boragerack::decisions {

/// Loads where the checkpoint is warmest, and holds an idle replica in proportion to the cost of
/// bringing it back.
class WarmestCheckpointPolicy final : public PlacementPolicy
{
public:
    struct Settings
    {
        /// Hold time as a multiple of the reload cost.
        double holdFactor = 200;
        core::Duration minHold = std::chrono::minutes(10);
        core::Duration maxHold = std::chrono::hours(4);
        /// Memory use from which the hold time shrinks; it reaches a quarter at full memory.
        double pressureStart = 0.95;
        /// Idle time after which a replica is as likely as not to stay unused.
        core::Duration halfUse = std::chrono::minutes(10);
        /// Time for draining and unloading the replicas that have to make room.
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
