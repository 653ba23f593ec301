#pragma once

#include "boragerack/decisions/PlacementPolicy.h"

namespace boragerack::decisions {

/// Baseline policy. Loads on the target with the most free memory, otherwise replaces the replicas
/// that have been idle longest. All idle replicas have the same hold time.
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
