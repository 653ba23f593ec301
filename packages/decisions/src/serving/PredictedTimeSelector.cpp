#include "boragerack/decisions/serving/PredictedTimeSelector.h"

#include <algorithm>

namespace boragerack::decisions {

namespace {

/// With fewer replicas, all are compared.
constexpr std::size_t kManyReplicas = 5;

} // namespace

PredictedTimeSelector::PredictedTimeSelector(core::RandomSource &random)
    : random_(random)
{
}

const ReplicaCandidate &
PredictedTimeSelector::pick(std::span<const ReplicaCandidate *const> candidates) const
{
    std::vector<const ReplicaCandidate *> fitting;
    std::ranges::copy_if(candidates, std::back_inserter(fitting),
                         [](const ReplicaCandidate *replica) { return !replica->isFull; });
    if (fitting.empty())
        fitting.assign(candidates.begin(), candidates.end());
    const std::size_t first = random_.next() % fitting.size();
    if (fitting.size() < kManyReplicas) {
        // Begins at a random replica, so that equal ones are used alike.
        std::rotate(fitting.begin(), fitting.begin() + static_cast<std::ptrdiff_t>(first),
                    fitting.end());
        return **std::ranges::min_element(fitting, {}, &ReplicaCandidate::predictedTime);
    }
    // The second candidate is different from the first.
    const std::size_t second = (first + 1 + random_.next() % (fitting.size() - 1)) % fitting.size();
    return fitting[second]->predictedTime < fitting[first]->predictedTime ? *fitting[second]
                                                                          : *fitting[first];
}

} // namespace boragerack::decisions
