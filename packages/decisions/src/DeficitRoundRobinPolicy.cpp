#include "boragerack/decisions/DeficitRoundRobinPolicy.h"

#include <algorithm>

namespace boragerack::decisions {

DeficitRoundRobinPolicy::DeficitRoundRobinPolicy(std::int64_t quantumTokens)
    : quantumTokens_(std::max<std::int64_t>(1, quantumTokens))
{
}

void DeficitRoundRobinPolicy::push(const QueuedRequest &request)
{
    OrganisationQueue &queue = queues_[request.organisation];
    if (queue.requests.empty())
        roundOrder_.push_back(request.organisation);
    queue.requests.push_back(request);
}

std::optional<QueuedRequest> DeficitRoundRobinPolicy::pop()
{
    while (!roundOrder_.empty()) {
        const core::OrganisationId organisation = roundOrder_.front();
        OrganisationQueue &queue = queues_.at(organisation);
        if (!queue.hasQuantum) {
            queue.deficit +=
                quantumTokens_ * std::max<std::int64_t>(1, queue.requests.front().weight);
            queue.hasQuantum = true;
        }
        if (queue.requests.front().tokens > queue.deficit) {
            queue.hasQuantum = false;
            roundOrder_.pop_front();
            roundOrder_.push_back(organisation);
            continue;
        }
        const QueuedRequest request = queue.requests.front();
        queue.requests.pop_front();
        queue.deficit -= request.tokens;
        if (queue.requests.empty()) {
            // An organisation without waiting requests accumulates no tokens.
            queues_.erase(organisation);
            roundOrder_.pop_front();
        }
        return request;
    }
    return std::nullopt;
}

void DeficitRoundRobinPolicy::remove(std::uint64_t request)
{
    for (auto &[organisation, queue] : queues_) {
        const auto found = std::find_if(
            queue.requests.begin(), queue.requests.end(),
            [request](const QueuedRequest &entry) { return entry.request == request; });
        if (found == queue.requests.end())
            continue;
        queue.requests.erase(found);
        if (queue.requests.empty()) {
            std::erase(roundOrder_, organisation);
            queues_.erase(organisation);
        }
        return;
    }
}

} // namespace boragerack::decisions
