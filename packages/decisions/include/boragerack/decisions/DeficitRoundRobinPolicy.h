#pragma once

#include <deque>
#include <map>

#include "boragerack/decisions/QueuePolicy.h"

namespace boragerack::decisions {

/// Deficit round robin over the organisations with waiting requests. Each round adds
/// `quantumTokens` times its weight to the tokens an organisation may use; a remainder too small
/// for its next request carries over while it has waiting requests.
class DeficitRoundRobinPolicy final : public QueuePolicy
{
public:
    explicit DeficitRoundRobinPolicy(std::int64_t quantumTokens = 512);

    void push(const QueuedRequest &request) override;
    std::optional<QueuedRequest> pop() override;
    void remove(std::uint64_t request) override;

private:
    struct OrganisationQueue
    {
        std::deque<QueuedRequest> requests;
        std::int64_t deficit = 0;
        bool hasQuantum = false;
    };

    std::int64_t quantumOf(const OrganisationQueue &queue) const;
    /// Adds the quanta of all rounds in which no organisation can be served. Without it, the time
    /// to serve a request would grow with its tokens, which its caller states.
    void skipRounds();

    std::int64_t quantumTokens_;
    std::map<core::OrganisationId, OrganisationQueue> queues_;
    /// Organisations with waiting requests, in round-robin order.
    std::deque<core::OrganisationId> roundOrder_;
};

} // namespace boragerack::decisions
