#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

using core::TimePoint;

/// Time a borrower may spend a portion, counted from its ask by its own clock.
constexpr std::chrono::milliseconds kPortionLifetime(2000);

/// Portion lifetime on the clock of another node. Clocks drift apart by at most 1%.
constexpr std::chrono::milliseconds kPortionLifetimeWithDrift(2020);

/// Time for which a holder accepts refunds for a portion. A later refund counts as spent.
constexpr std::chrono::seconds kRefundLifetime(120);

/// Tokens per second and the size of the bucket of one organisation.
struct RateLimit
{
    std::int64_t tokensPerSecond = 0;
    std::int64_t burstTokens = 0;

    friend auto operator<=>(const RateLimit &, const RateLimit &) = default;
};

/// One share of the buckets of all organisations of a shard.
struct ShareKey
{
    std::uint32_t shard = 0;
    std::uint32_t index = 0;

    friend auto operator<=>(const ShareKey &, const ShareKey &) = default;
};

/// Identity of an ask, of its grant and of the portion granted. An incarnation is one run of the
/// process of an instance.
struct PortionId
{
    core::InstanceId borrower;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const PortionId &, const PortionId &) = default;
};

/// Tokens of a portion that were not needed: the total so far, so that a repeated or reordered
/// return changes nothing. The first return ends the portion.
struct PortionReturn
{
    PortionId portion;
    std::uint64_t holderIncarnation = 0;
    std::int64_t returnedTotal = 0;

    friend auto operator<=>(const PortionReturn &, const PortionReturn &) = default;
};

/// Message from a borrower to a holder.
struct BudgetRequest
{
    PortionId id;
    ShareKey share;
    core::OrganisationId organisation;
    std::int64_t wantedTokens = 0;
    std::vector<PortionReturn> returns;

    friend bool operator==(const BudgetRequest &, const BudgetRequest &) = default;
};

/// Answer to an ask. A process that does not hold the share answers with `isHolder` false.
struct BudgetGrant
{
    PortionId id;
    ShareKey share;
    core::OrganisationId organisation;
    std::uint64_t holderIncarnation = 0;
    bool isHolder = false;
    std::int64_t tokens = 0;
    /// Time until the holder expects to have the missing tokens.
    std::chrono::milliseconds retryAfter = std::chrono::milliseconds(0);

    friend bool operator==(const BudgetGrant &, const BudgetGrant &) = default;
};

/// Message from a borrower to a holder that carries returns without an ask.
struct BudgetReturn
{
    ShareKey share;
    core::OrganisationId organisation;
    std::vector<PortionReturn> returns;

    friend bool operator==(const BudgetReturn &, const BudgetReturn &) = default;
};

/// Switches off single mechanisms so that tests can show that the checks notice it. Production
/// code leaves every member false.
struct BudgetFaults
{
    bool lifetimeFromAnswer = false; ///< A borrower counts a portion from the grant's arrival.
    bool creditRepeatedReturns = false; ///< A holder credits a return each time it arrives.
    bool grantRepeatedAsks = false; ///< A holder answers a repeated ask with new tokens.
    bool acceptRepeatedGrants = false; ///< A borrower takes a grant each time it arrives.
    bool startFull = false; ///< A new owner starts with a full bucket.
    bool skipWarmUp = false; ///< A new owner accrues and grants at once.
    bool refundAboveCap = false; ///< A refund ignores the high-water mark.
    bool ignoreOutstanding = false; ///< Accrual ignores the portions in the fleet.
    bool keepWithoutClaim = false; ///< A restarted process keeps its shares without a write.
    bool acceptOlderTable = false; ///< An older version of the ownership table is accepted.
    bool grantWhileReleasing = false; ///< An owner grants until its release is confirmed.
    bool claimAfterOneMissedRead = false; ///< One missing read makes an instance gone for good.

    friend bool operator==(const BudgetFaults &, const BudgetFaults &) = default;
};

} // namespace boragerack::decisions
