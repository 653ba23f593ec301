#include "boragerack/decisions/DeficitRoundRobinPolicy.h"

#include <algorithm>
#include <limits>

namespace boragerack::decisions {

namespace {

/// Sums of two such numbers are representable. A request that states more counts as this many.
constexpr std::int64_t kMaxTokens = std::numeric_limits<std::int64_t>::max() / 4;

std::int64_t tokensOf(const QueuedRequest &request)
{
    return std::clamp<std::int64_t>(request.tokens, 0, kMaxTokens);
}

/// The deficit after this many rounds, at most `kMaxTokens`.
std::int64_t addRounds(std::int64_t deficit, std::int64_t quantum, std::int64_t rounds)
{
    if (rounds <= 0)
        return deficit;
    return quantum > (kMaxTokens - deficit) / rounds ? kMaxTokens : deficit + quantum * rounds;
}

} // namespace

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

std::int64_t DeficitRoundRobinPolicy::quantumOf(const OrganisationQueue &queue) const
{
    return addRounds(0, quantumTokens_, std::max<std::int64_t>(1, queue.requests.front().weight));
}

void DeficitRoundRobinPolicy::skipRounds()
{
    std::int64_t rounds = kMaxTokens;
    for (const auto &[organisation, queue] : queues_) {
        const std::int64_t missing = tokensOf(queue.requests.front()) - queue.deficit;
        rounds = std::min(rounds, (missing - 1) / quantumOf(queue));
    }
    for (auto &[organisation, queue] : queues_)
        queue.deficit = addRounds(queue.deficit, quantumOf(queue), rounds);
}

std::optional<QueuedRequest> DeficitRoundRobinPolicy::pop()
{
    std::size_t passedOver = 0;
    while (!roundOrder_.empty()) {
        if (passedOver == roundOrder_.size()) {
            skipRounds();
            passedOver = 0;
        }
        const core::OrganisationId organisation = roundOrder_.front();
        OrganisationQueue &queue = queues_.at(organisation);
        if (!queue.hasQuantum) {
            queue.deficit = addRounds(queue.deficit, quantumOf(queue), 1);
            queue.hasQuantum = true;
        }
        if (tokensOf(queue.requests.front()) > queue.deficit) {
            queue.hasQuantum = false;
            ++passedOver;
            roundOrder_.pop_front();
            roundOrder_.push_back(organisation);
            continue;
        }
        const QueuedRequest request = queue.requests.front();
        queue.requests.pop_front();
        queue.deficit -= tokensOf(request);
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
