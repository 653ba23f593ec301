#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "boragerack/core/Identifier.h"
#include "boragerack/core/RandomSource.h"

namespace boragerack::decisions {

/// A ready replica as the node sees it at the moment of choice.
struct ReplicaCandidate
{
    core::TargetId target;
    /// Requests of this node that the target has not finished.
    std::uint32_t outstanding = 0;
    /// Requests that the target's last report counts, of all nodes; it lags behind.
    std::uint32_t reported = 0;
    /// Speed relative to an ordinary target; a target of speed 2 carries twice the work.
    double speed = 1;
    bool isLeaving = false;
    bool isSuspected = false;
    bool isUnreachable = false;

    friend bool operator==(const ReplicaCandidate &, const ReplicaCandidate &) = default;
};

/// Chooses the replica for an attempt.
///
/// All implementations keep to one order of preference: never a leaving replica; a suspected or
/// silent one only if there is no other; one that already failed this request only if there is no
/// other of the same kind.
class ReplicaSelector
{
public:
    ReplicaSelector() = default;
    ReplicaSelector(const ReplicaSelector &) = delete;
    ReplicaSelector &operator=(const ReplicaSelector &) = delete;
    virtual ~ReplicaSelector() = default;

    /// `avoid` holds the targets on which earlier attempts of the request failed.
    std::optional<core::TargetId> choose(std::span<const ReplicaCandidate> replicas,
                                         std::span<const core::TargetId> avoid) const;

private:
    /// Chooses among equally suitable replicas; there is at least one.
    virtual const ReplicaCandidate &
    pick(std::span<const ReplicaCandidate *const> candidates) const = 0;
};

/// Takes the less loaded of two random replicas. Nodes that see the same lagging reports then do
/// not all choose the same replica, as they would if each took the least loaded one.
class PowerOfTwoSelector final : public ReplicaSelector
{
public:
    explicit PowerOfTwoSelector(core::RandomSource &random);

private:
    const ReplicaCandidate &
    pick(std::span<const ReplicaCandidate *const> candidates) const override;

    core::RandomSource &random_;
};

/// Takes any replica with equal probability; the baseline of comparisons.
class RandomSelector final : public ReplicaSelector
{
public:
    explicit RandomSelector(core::RandomSource &random);

private:
    const ReplicaCandidate &
    pick(std::span<const ReplicaCandidate *const> candidates) const override;

    core::RandomSource &random_;
};

/// Takes the replica with the least work; the other baseline.
class LeastWorkSelector final : public ReplicaSelector
{
private:
    const ReplicaCandidate &
    pick(std::span<const ReplicaCandidate *const> candidates) const override;
};

} // namespace boragerack::decisions
