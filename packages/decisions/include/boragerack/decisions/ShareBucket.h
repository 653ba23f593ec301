#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "boragerack/decisions/BudgetTypes.h"
#include "boragerack/decisions/HighWaterMarks.h"

namespace boragerack::decisions {

/// The part of one organisation's token bucket that one share holds. Level plus outstanding
/// portions never exceed the share's part of the burst, so the level and all portions in the fleet
/// together form one bucket. Amounts are exact integers.
class ShareBucket
{
public:
    /// A bucket of 1/`parts` of the limit that was empty at `emptyAt` and has granted nothing
    /// since.
    ShareBucket(const RateLimit &limit, std::int64_t parts, TimePoint emptyAt,
                const BudgetFaults &faults = {});

    /// Tokens for the portion, at most `wanted`. A repeated identity gets the same tokens again.
    std::int64_t grant(const PortionId &id, std::int64_t wanted, TimePoint now);

    /// Credits what the portion's returned total exceeds the earlier returns by. Tokens that come
    /// back after the portion ended are credited only as far as the bucket could have held them
    /// all the time since.
    void refundTokens(const PortionId &id, std::int64_t returnedTotal, TimePoint now);

    void setLimit(const RateLimit &limit, TimePoint now);
    const RateLimit &limit() const { return limit_; }

    std::int64_t availableTokens(TimePoint now);
    /// Time to accrue the tokens, however much is available.
    std::chrono::milliseconds accrualTime(std::int64_t tokens) const;
    /// True if a new bucket that was empty long ago would be in the same state.
    bool isIdle(TimePoint now);

private:
    struct Portion
    {
        std::int64_t tokens = 0;
        TimePoint grantedAt;
        std::int64_t returned = 0;
        bool isOutstanding = false;
        std::uint64_t marksFrom = 0;
        std::uint64_t grantedAtMark = 0;
    };

    std::int64_t toUnits(std::int64_t tokens) const;
    std::int64_t held() const { return level_ + outstanding_; }
    void accrueUntil(TimePoint time);
    void advance(TimePoint now);
    void end(Portion &portion, std::int64_t returnedTokens);
    void forgetOld(TimePoint now);

    RateLimit limit_;
    std::int64_t parts_;
    BudgetFaults faults_;
    std::int64_t cap_ = 0;
    std::int64_t level_ = 0;
    std::int64_t outstanding_ = 0;
    TimePoint accruedUntil_;
    HighWaterMarks marks_;
    std::map<PortionId, Portion> portions_;
    /// Identities by time of grant, for all portions and for those that may be outstanding.
    std::deque<PortionId> byAge_;
    std::deque<PortionId> expiring_;
};

} // namespace boragerack::decisions
