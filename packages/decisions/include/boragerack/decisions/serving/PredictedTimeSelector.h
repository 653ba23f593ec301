#pragma once

#include "boragerack/decisions/ReplicaSelector.h"

namespace boragerack::decisions {

/// Selects the replica with the shorter predicted time to the first piece among two random ones
/// that have room; among less than five, the one with the shortest time. With more, the nodes,
/// which all have the same outdated sums, would send their requests to the same one.
class PredictedTimeSelector final : public ReplicaSelector
{
public:
    explicit PredictedTimeSelector(core::RandomSource &random);

private:
    const ReplicaCandidate &
    pick(std::span<const ReplicaCandidate *const> candidates) const override;

    core::RandomSource &random_;
};

} // namespace boragerack::decisions
