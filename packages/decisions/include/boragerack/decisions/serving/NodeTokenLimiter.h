#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/BudgetTypes.h"
#include "boragerack/decisions/serving/CoordinationMessages.h"

namespace boragerack::decisions {

/// Tokens that this node may spend for each organisation. The coordinator grants them from one
/// bucket per organisation; without a coordinator the node accrues its equal share of the rate.
class NodeTokenLimiter
{
public:
    using Limits = std::map<core::OrganisationId, RateLimit>;

    /// Organisations without an entry, or with a rate of zero, are not limited.
    void setLimits(const Limits &limits);

    /// Records the arrival of a request that needs the tokens.
    void countDemand(const core::OrganisationId &organisation, std::int64_t tokens,
                     core::TimePoint now);
    /// Spends the tokens of a request; false if the balance is too low. A request spends tokens
    /// once, and none if its organisation is not limited.
    bool take(std::uint64_t request, const core::OrganisationId &organisation, std::int64_t tokens);
    /// Ends a request. If it has not run, what it spent is credited again as far as the balance
    /// stays within the reserve or the tokens of the request. The coordinator's bucket accrues
    /// while requests hold their tokens, so more would add to its burst. The result is the credited
    /// amount; it is zero for a request that spent nothing or has ended before.
    TokenAmount end(std::uint64_t request, bool hasRun, core::TimePoint now);
    /// Adds tokens granted by the coordinator.
    void credit(const TokenAmount &grant);

    /// Accrues this node's share of the rates since the last call; used without a coordinator.
    void accrue(core::TimePoint now, std::uint32_t nodes);
    /// Called when the coordinator responds; the next `accrue()` starts a new interval.
    void stopAccruing() { accruedAt_.reset(); }

    /// Tokens to request from the coordinator, based on recent demand and the waiting requests.
    std::vector<TokenRequest> wanted(core::TimePoint now) const;
    /// Sets the tokens of the waiting requests; zero for organisations without an entry.
    void setWaiting(const std::map<core::OrganisationId, std::int64_t> &tokens);

    bool isLimited(const core::OrganisationId &organisation) const;

private:
    struct Account
    {
        RateLimit limit;
        std::int64_t balance = 0;
        std::int64_t waiting = 0;
        /// Tokens per second that requests needed recently.
        double demand = 0;
        core::TimePoint demandAt = {};
        std::int64_t largestRequest = 0;

        void countDemand(std::int64_t tokens, core::TimePoint now);
        double demandNow(core::TimePoint now) const;
        /// Tokens to hold for the requests that are expected.
        std::int64_t reserveNow(core::TimePoint now) const;
    };

    std::map<core::OrganisationId, Account> accounts_;
    /// Tokens that the requests in progress spent. Only these can be credited again.
    std::map<std::uint64_t, TokenAmount> spent_;
    std::optional<core::TimePoint> accruedAt_;
};

} // namespace boragerack::decisions
