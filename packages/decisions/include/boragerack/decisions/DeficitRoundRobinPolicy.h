#pragma once

#include <deque>
#include <map>

#include "boragerack/decisions/QueuePolicy.h"

namespace boragerack::decisions {

/// Deficit round robin over the organisations that wait: in each round an organisation may use
/// `quantumTokens` times its weight, and what it does not use for lack of a small enough request
/// carries over while it waits.
class DeficitRoundRobinPolicy final : public QueuePolicy
{
public:
    explicit DeficitRoundRobinPolicy(std::int64_t quantumTokens = 512);

    void push(const QueuedRequest &request) override;
    std::optional<QueuedRequest> pop() override;
    void remove(std::uint64_t request) override;

private:
    struct Lane
    {
        std::deque<QueuedRequest> requests;
        std::int64_t deficit = 0;
        bool hasQuantum = false;
    };

    std::int64_t quantumTokens_;
    std::map<core::OrganisationId, Lane> lanes_;
    /// Organisations with waiting requests, in the order of their turns.
    std::deque<core::OrganisationId> turns_;
};

} // namespace boragerack::decisions
