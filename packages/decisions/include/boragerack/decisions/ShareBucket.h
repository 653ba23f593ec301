#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "boragerack/decisions/BudgetTypes.h"
#include "boragerack/decisions/HighWaterMarks.h"

namespace boragerack::decisions {

/// One share's part of an organisation's token bucket. The level plus the outstanding portions
/// never exceed the share's part of the burst, so the levels and portions of all nodes together
/// stay within one bucket. Amounts are exact integers.
class ShareBucket
{
public:
    /// Creates a bucket with 1/`parts` of the limit that was empty at `emptyAt` and has granted
    /// nothing since.
    ShareBucket(const RateLimit &limit, std::int64_t parts, TimePoint emptyAt,
                const BudgetFaults &faults = {});

    /// Grants a portion of at most `wanted` tokens and returns its size. A repeated `id` returns
    /// the size of the first grant.
    std::int64_t grant(const PortionId &id, std::int64_t wanted, TimePoint now);

    /// Credits the difference between `returnedTotal` and the tokens returned before. After the
    /// portion ended, credits only as many tokens as the bucket had room for at all times since.
    void refundTokens(const PortionId &id, std::int64_t returnedTotal, TimePoint now);

    void setLimit(const RateLimit &limit, TimePoint now);
    const RateLimit &limit() const { return limit_; }

    std::int64_t availableTokens(TimePoint now);
    /// Time to accrue the tokens, regardless of the tokens available.
    std::chrono::milliseconds accrualTime(std::int64_t tokens) const;
    /// True if the bucket is full and has no portions, so that it can be recreated without loss.
    bool isIdle(TimePoint now);

private:
    struct Portion
    {
        std::int64_t tokens = 0;
        TimePoint grantedAt;
        std::int64_t returned = 0;
        bool isOutstanding = false;
        std::uint64_t marksStart = 0;
        std::uint64_t marksAtGrant = 0;
    };

    std::int64_t toUnits(std::int64_t tokens) const;
    std::int64_t held() const { return level_ + outstanding_; }
    /// Adds the tokens accrued up to `time`; portions are left as they are.
    void accrueUntil(TimePoint time);
    /// Accrues tokens up to `now` like accrueUntil(), but also ends each expired portion at its
    /// expiry, so that accrual accounts for the freed room, and evicts old portions.
    void advance(TimePoint now);
    void endPortion(Portion &portion, std::int64_t returnedTokens);
    void evictOldPortions(TimePoint now);

    RateLimit limit_;
    std::int64_t parts_;
    BudgetFaults faults_;
    std::int64_t capacity_ = 0;
    std::int64_t level_ = 0;
    std::int64_t outstanding_ = 0;
    TimePoint accruedUntil_;
    HighWaterMarks marks_;
    std::map<PortionId, Portion> portions_;
    /// Portions in order of grant: all of them, and those that may be outstanding.
    std::deque<PortionId> portionsByAge_;
    std::deque<PortionId> outstandingByAge_;
};

} // namespace boragerack::decisions
