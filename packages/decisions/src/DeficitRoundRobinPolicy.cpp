#include "boragerack/decisions/DeficitRoundRobinPolicy.h"

#include <algorithm>

namespace boragerack::decisions {

DeficitRoundRobinPolicy::DeficitRoundRobinPolicy(std::int64_t quantumTokens)
    : quantumTokens_(std::max<std::int64_t>(1, quantumTokens))
{
}

void DeficitRoundRobinPolicy::push(const QueuedRequest &request)
{
    Lane &lane = lanes_[request.organisation];
    if (lane.requests.empty())
        turns_.push_back(request.organisation);
    lane.requests.push_back(request);
}

std::optional<QueuedRequest> DeficitRoundRobinPolicy::pop()
{
    while (!turns_.empty()) {
        const core::OrganisationId organisation = turns_.front();
        Lane &lane = lanes_.at(organisation);
        if (!lane.hasQuantum) {
            lane.deficit +=
                quantumTokens_ * std::max<std::int64_t>(1, lane.requests.front().weight);
            lane.hasQuantum = true;
        }
        if (lane.requests.front().tokens > lane.deficit) {
            lane.hasQuantum = false;
            turns_.pop_front();
            turns_.push_back(organisation);
            continue;
        }
        const QueuedRequest request = lane.requests.front();
        lane.requests.pop_front();
        lane.deficit -= request.tokens;
        if (lane.requests.empty()) {
            // Idle time earns nothing.
            lanes_.erase(organisation);
            turns_.pop_front();
        }
        return request;
    }
    return std::nullopt;
}

void DeficitRoundRobinPolicy::remove(std::uint64_t request)
{
    for (auto &[organisation, lane] : lanes_) {
        const auto found = std::find_if(
            lane.requests.begin(), lane.requests.end(),
            [request](const QueuedRequest &entry) { return entry.request == request; });
        if (found == lane.requests.end())
            continue;
        lane.requests.erase(found);
        if (lane.requests.empty()) {
            std::erase(turns_, organisation);
            lanes_.erase(organisation);
        }
        return;
    }
}

} // namespace boragerack::decisions
