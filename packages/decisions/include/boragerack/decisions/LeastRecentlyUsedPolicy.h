#pragma once

#include "boragerack/decisions/PlacementPolicy.h"

namespace boragerack::decisions {

/// Baseline: loads where most memory is free, otherwise replaces the replicas that have been idle
/// longest; every idle replica is held for the same time.
class LeastRecentlyUsedPolicy final : public PlacementPolicy
{
public:
    explicit LeastRecentlyUsedPolicy(core::Duration hold);

    std::optional<PlacementChoice> choose(std::uint64_t memoryMiB,
                                          std::span<const TargetOffer> offers,
                                          core::TimePoint now) const override;
    core::Duration holdTime(const HoldRequest &request) const override;

private:
    core::Duration hold_;
};

} // namespace boragerack::decisions
