#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

using core::TimePoint;

/// Time for which a borrower may spend a portion, measured on its own clock from its budget
/// request.
constexpr std::chrono::milliseconds kPortionLifetime(2000);

/// Upper bound of the portion lifetime on another node's clock. Clock rates differ by at most 1%.
constexpr std::chrono::milliseconds kPortionLifetimeWithDrift(2020);

/// Time for which a holder accepts refunds for a portion. Tokens refunded later count as spent.
constexpr std::chrono::seconds kRefundLifetime(120);

/// Rate and bucket size of one organisation.
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

/// Identifies a budget request, its grant and the granted portion. An incarnation is one run of the
/// process of an instance.
struct PortionId
{
    core::InstanceId borrower;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const PortionId &, const PortionId &) = default;
};

/// Unused tokens of a portion. `returnedTotal` is cumulative, so that a repeated or reordered
/// return has no effect. The first return ends the portion.
struct PortionReturn
{
    PortionId portion;
    std::uint64_t holderIncarnation = 0;
    std::int64_t returnedTotal = 0;

    friend auto operator<=>(const PortionReturn &, const PortionReturn &) = default;
};

/// Message from a borrower to a holder that requests a portion and can carry returns.
struct BudgetRequest
{
    PortionId id;
    ShareKey share;
    core::OrganisationId organisation;
    std::int64_t wantedTokens = 0;
    std::vector<PortionReturn> returns;

    friend bool operator==(const BudgetRequest &, const BudgetRequest &) = default;
};

/// Response to a budget request. `isHolder` is false if the process does not hold the share.
struct BudgetGrant
{
    PortionId id;
    ShareKey share;
    core::OrganisationId organisation;
    std::uint64_t holderIncarnation = 0;
    bool isHolder = false;
    std::int64_t tokens = 0;
    /// Estimated time until the missing tokens have accrued.
    std::chrono::milliseconds retryAfter = std::chrono::milliseconds(0);

    friend bool operator==(const BudgetGrant &, const BudgetGrant &) = default;
};

/// Message from a borrower to a holder that carries returns without a budget request.
struct BudgetReturn
{
    ShareKey share;
    core::OrganisationId organisation;
    std::vector<PortionReturn> returns;

    friend bool operator==(const BudgetReturn &, const BudgetReturn &) = default;
};

/// Disables single mechanisms, so that tests can show that their checks detect it. Production code
/// leaves every member false.
struct BudgetFaults
{
    bool lifetimeFromAnswer = false; ///< A portion's lifetime starts when the grant arrives.
    bool creditRepeatedReturns = false; ///< A holder credits duplicate returns.
    bool grantRepeatedRequests = false; ///< A holder grants new tokens for a duplicate request.
    bool acceptRepeatedGrants = false; ///< A borrower accepts duplicate grants.
    bool startFull = false; ///< A new owner starts with a full bucket.
    bool skipWarmUp = false; ///< A new owner accrues and grants without a warm-up.
    bool refundAboveCap = false; ///< A refund ignores the high-water mark.
    bool ignoreOutstanding = false; ///< Accrual ignores outstanding portions.
    bool keepWithoutClaim = false; ///< A restarted process keeps its shares without a table write.
    bool acceptOlderTable = false; ///< An older version of the ownership table is accepted.
    bool grantWhileReleasing = false; ///< An owner grants until its release is confirmed.
    bool claimAfterOneMissedRead = false; ///< One missed read counts as permanent absence.

    friend bool operator==(const BudgetFaults &, const BudgetFaults &) = default;
};

} // namespace boragerack::decisions
