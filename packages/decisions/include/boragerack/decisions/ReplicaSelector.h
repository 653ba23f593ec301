#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Identifier.h"
#include "boragerack/core/RandomSource.h"

namespace boragerack::decisions {

/// A ready replica with its load as known to this node.
struct ReplicaCandidate
{
    core::TargetId target;
    /// Requests of this node in flight on the target.
    std::uint32_t outstanding = 0;
    /// Requests of all nodes according to the target's last report, which may be out of date.
    std::uint32_t reported = 0;
    /// Speed relative to a standard target; a target of speed 2 processes twice the work.
    double speed = 1;
    bool isLeaving = false;
    bool isSuspected = false;
    bool isUnreachable = false;
    /// Operators have evacuated the data centre of the target.
    bool isEvacuated = false;
    /// Predicted time to the first piece of the answer; zero if unknown.
    core::Duration predictedTime = {};
    /// Has no room for a further request.
    bool isFull = false;

    friend bool operator==(const ReplicaCandidate &, const ReplicaCandidate &) = default;
};

/// Selects the replica for an attempt of a request.
///
/// All implementations use the same order of preference. Leaving and evacuated replicas are never
/// selected, not even for a retry that has no other target. Suspected or unreachable ones are
/// selected only if there is no other, and ones on which this request has failed only if there is
/// no other of equal health.
class ReplicaSelector
{
public:
    ReplicaSelector() = default;
    ReplicaSelector(const ReplicaSelector &) = delete;
    ReplicaSelector &operator=(const ReplicaSelector &) = delete;
    virtual ~ReplicaSelector() = default;

    /// `avoid` lists the targets on which earlier attempts of the request failed. Returns nothing
    /// if all replicas are leaving or evacuated.
    std::optional<core::TargetId> choose(std::span<const ReplicaCandidate> replicas,
                                         std::span<const core::TargetId> avoid) const;

private:
    /// Selects one of the equally preferred candidates; there is at least one.
    virtual const ReplicaCandidate &
    pick(std::span<const ReplicaCandidate *const> candidates) const = 0;
};

/// Selects the less loaded of two random replicas. Selecting the least loaded one would send the
/// requests of all nodes with the same outdated reports to the same replica.
class PowerOfTwoSelector final : public ReplicaSelector
{
public:
    explicit PowerOfTwoSelector(core::RandomSource &random);

private:
    const ReplicaCandidate &
    pick(std::span<const ReplicaCandidate *const> candidates) const override;

    core::RandomSource &random_;
};

/// Selects any replica with equal probability; a baseline for comparisons.
class RandomSelector final : public ReplicaSelector
{
public:
    explicit RandomSelector(core::RandomSource &random);

private:
    const ReplicaCandidate &
    pick(std::span<const ReplicaCandidate *const> candidates) const override;

    core::RandomSource &random_;
};

/// Selects the least loaded replica; a baseline for comparisons.
class LeastWorkSelector final : public ReplicaSelector
{
private:
    const ReplicaCandidate &
    pick(std::span<const ReplicaCandidate *const> candidates) const override;
};

} // namespace boragerack::decisions
