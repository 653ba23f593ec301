#include "boragerack/decisions/ReplicaSelector.h"

#include <algorithm>

namespace boragerack::decisions {

namespace {

// Avoids division by zero.
constexpr double kMinSpeed = 0.01;

/// Expected work including one more request, in requests of a standard target. The report already
/// includes some of this node's requests, so the larger of the two counts is used, not the sum.
double workOf(const ReplicaCandidate &replica)
{
    const std::uint32_t requests = std::max(replica.outstanding, replica.reported);
    return (requests + 1.0) / std::max(replica.speed, kMinSpeed);
}

/// Preference of the replica; lower is better.
int rankOf(const ReplicaCandidate &replica, std::span<const core::TargetId> avoid)
{
    const bool isUnhealthy = replica.isSuspected || replica.isUnreachable;
    const bool hasFailed = std::ranges::find(avoid, replica.target) != avoid.end();
    return (isUnhealthy ? 2 : 0) + (hasFailed ? 1 : 0);
}

} // namespace

std::optional<core::TargetId> ReplicaSelector::choose(std::span<const ReplicaCandidate> replicas,
                                                      std::span<const core::TargetId> avoid) const
{
    std::vector<const ReplicaCandidate *> candidates;
    int best = 0;
    for (const ReplicaCandidate &replica : replicas) {
        if (replica.isLeaving || replica.isEvacuated)
            continue;
        const int rank = rankOf(replica, avoid);
        if (candidates.empty() || rank < best) {
            candidates.clear();
            best = rank;
        }
        if (rank == best)
            candidates.push_back(&replica);
    }
    if (candidates.empty())
        return std::nullopt;
    return pick(candidates).target;
}

PowerOfTwoSelector::PowerOfTwoSelector(core::RandomSource &random)
    : random_(random)
{
}

const ReplicaCandidate &
PowerOfTwoSelector::pick(std::span<const ReplicaCandidate *const> candidates) const
{
    if (candidates.size() == 1)
        return *candidates.front();
    const std::size_t first = random_.next() % candidates.size();
    // The second candidate is different from the first.
    std::size_t second = random_.next() % (candidates.size() - 1);
    if (second >= first)
        ++second;
    return workOf(*candidates[second]) < workOf(*candidates[first]) ? *candidates[second]
                                                                    : *candidates[first];
}

RandomSelector::RandomSelector(core::RandomSource &random)
    : random_(random)
{
}

const ReplicaCandidate &
RandomSelector::pick(std::span<const ReplicaCandidate *const> candidates) const
{
    return *candidates[random_.next() % candidates.size()];
}

const ReplicaCandidate &
LeastWorkSelector::pick(std::span<const ReplicaCandidate *const> candidates) const
{
    return **std::ranges::min_element(
        candidates, {}, [](const ReplicaCandidate *replica) { return workOf(*replica); });
}

} // namespace boragerack::decisions
