#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/BudgetTypes.h"
#include "boragerack/decisions/serving/CoordinationMessages.h"

namespace boragerack::decisions {

/// Tokens that this node may spend for each organisation. The coordinator grants them out of one
/// bucket an organisation; without a coordinator the node accrues its equal part of the rate.
class NodeTokenLimiter
{
public:
    using Limits = std::map<core::OrganisationId, RateLimit>;

    /// Organisations without an entry, or with a rate of zero, are not limited.
    void setLimits(const Limits &limits);

    /// A request that needs the tokens has arrived.
    void countDemand(const core::OrganisationId &organisation, std::int64_t tokens,
                     core::TimePoint now);
    /// Takes the tokens of a request; false if the balance does not cover them.
    bool take(const core::OrganisationId &organisation, std::int64_t tokens);
    /// Tokens of a request that did not run.
    void giveBack(const core::OrganisationId &organisation, std::int64_t tokens);
    void credit(const TokenAmount &grant);

    /// Accrues this node's part of the rates since the last call; used without a coordinator.
    void accrue(core::TimePoint now, std::uint32_t nodes);
    /// The coordinator answers; what is accrued later counts from now.
    void stopAccruing() { accruedAt_.reset(); }

    /// Amounts to ask the coordinator for, from recent demand and the requests that wait.
    std::vector<TokenRequest> wanted(core::TimePoint now) const;
    /// Tokens of the requests that wait; organisations that are not named have none waiting.
    void setWaiting(const std::map<core::OrganisationId, std::int64_t> &tokens);

    bool isLimited(const core::OrganisationId &organisation) const;

private:
    struct Account
    {
        RateLimit limit;
        std::int64_t balance = 0;
        std::int64_t waiting = 0;
        /// Tokens a second that requests asked for recently.
        double demand = 0;
        core::TimePoint demandAt = {};
        std::int64_t largestRequest = 0;

        void countDemand(std::int64_t tokens, core::TimePoint now);
        double demandNow(core::TimePoint now) const;
    };

    std::map<core::OrganisationId, Account> accounts_;
    std::optional<core::TimePoint> accruedAt_;
};

} // namespace boragerack::decisions
