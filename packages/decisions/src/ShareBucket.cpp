#include "boragerack/decisions/ShareBucket.h"

#include <algorithm>

namespace boragerack::decisions {

namespace {

/// A share accrues `tokensPerSecond` units per nanosecond. The 1% above 10^9 slows accrual, so that
/// a holder whose clock is 1% fast does not exceed the rate.
constexpr std::int64_t kUnitsPerToken = 1'010'000'000;

/// Bounds the memory of a bucket. The oldest ended portion is evicted first; tokens refunded for it
/// later count as spent.
constexpr std::size_t kMaxPortions = 8192;

} // namespace

ShareBucket::ShareBucket(const RateLimit &limit, std::int64_t parts, TimePoint emptyAt,
                         const BudgetFaults &faults)
    : limit_(limit)
    , parts_(parts)
    , faults_(faults)
    , capacity_(limit.burstTokens * kUnitsPerToken)
    , level_(faults.startFull ? capacity_ : 0)
    , accruedUntil_(emptyAt)
{
}

std::int64_t ShareBucket::grant(const PortionId &id, std::int64_t wanted, TimePoint now)
{
    advance(now);
    if (const auto found = portions_.find(id); found != portions_.end()) {
        if (!faults_.grantRepeatedRequests)
            return found->second.tokens;
        endPortion(found->second, 0);
        portions_.erase(found);
    }
    if (portions_.size() >= kMaxPortions)
        return 0;
    const std::int64_t tokens = std::clamp<std::int64_t>(wanted, 0, level_ / toUnits(1));
    level_ -= toUnits(tokens);
    Portion portion;
    portion.tokens = tokens;
    portion.grantedAt = now;
    portion.isOutstanding = tokens > 0;
    portion.marksStart = marks_.position();
    portion.marksAtGrant = marks_.position();
    outstanding_ += toUnits(tokens);
    portions_.emplace(id, portion);
    portionsByAge_.push_back(id);
    if (portion.isOutstanding)
        outstandingByAge_.push_back(id);
    return tokens;
}

void ShareBucket::refundTokens(const PortionId &id, std::int64_t returnedTotal, TimePoint now)
{
    advance(now);
    const auto found = portions_.find(id);
    if (found == portions_.end())
        return;
    Portion &portion = found->second;
    const std::int64_t total = std::clamp<std::int64_t>(returnedTotal, 0, portion.tokens);
    if (portion.isOutstanding) {
        endPortion(portion, total);
        portion.returned = total;
        return;
    }
    const std::int64_t refund =
        toUnits(faults_.creditRepeatedReturns ? total : total - portion.returned);
    if (refund <= 0)
        return;
    portion.returned = std::max(portion.returned, total);
    const std::int64_t room = faults_.refundAboveCap
        ? capacity_ - held()
        : capacity_ - marks_.highestSince(portion.marksStart, held());
    const std::int64_t credit =
        std::clamp<std::int64_t>(refund, 0, std::max<std::int64_t>(room, 0));
    marks_.raiseSince(portion.marksStart, credit);
    level_ += credit;
}

void ShareBucket::setLimit(const RateLimit &limit, TimePoint now)
{
    advance(now);
    limit_ = limit;
    capacity_ = limit.burstTokens * kUnitsPerToken;
    level_ = std::clamp<std::int64_t>(capacity_ - outstanding_, 0, level_);
}

std::int64_t ShareBucket::availableTokens(TimePoint now)
{
    advance(now);
    return level_ / toUnits(1);
}

std::chrono::milliseconds ShareBucket::accrualTime(std::int64_t tokens) const
{
    const std::int64_t unitsPerMillisecond =
        std::max<std::int64_t>(1, limit_.tokensPerSecond * 1'000'000);
    return std::chrono::milliseconds(toUnits(tokens) / unitsPerMillisecond + 1);
}

bool ShareBucket::isIdle(TimePoint now)
{
    advance(now);
    return portions_.empty() && level_ == capacity_ && limit_.tokensPerSecond > 0;
}

std::int64_t ShareBucket::toUnits(std::int64_t tokens) const
{
    return tokens * parts_ * kUnitsPerToken;
}

void ShareBucket::accrueUntil(TimePoint time)
{
    if (time <= accruedUntil_)
        return;
    const std::int64_t elapsed =
        std::chrono::duration_cast<std::chrono::nanoseconds>(time - accruedUntil_).count();
    accruedUntil_ = time;
    const std::int64_t room = std::max<std::int64_t>(
        0, capacity_ - level_ - (faults_.ignoreOutstanding ? 0 : outstanding_));
    if (limit_.tokensPerSecond <= 0)
        return;
    // The comparison avoids overflow of the product after a long idle time.
    level_ += elapsed > room / limit_.tokensPerSecond ? room : limit_.tokensPerSecond * elapsed;
}

void ShareBucket::advance(TimePoint now)
{
    while (!outstandingByAge_.empty()) {
        const auto found = portions_.find(outstandingByAge_.front());
        if (found != portions_.end() && found->second.isOutstanding) {
            const TimePoint expiry = found->second.grantedAt + kPortionLifetimeWithDrift;
            if (expiry > now)
                break;
            accrueUntil(expiry);
            endPortion(found->second, 0);
        }
        outstandingByAge_.pop_front();
    }
    accrueUntil(now);
    evictOldPortions(now);
}

/// The whole portion counted towards the held amount until now, so later refunds are checked only
/// against high-water marks recorded from here on.
void ShareBucket::endPortion(Portion &portion, std::int64_t returnedTokens)
{
    marks_.record(held());
    outstanding_ -= toUnits(portion.tokens);
    level_ += toUnits(returnedTokens);
    portion.isOutstanding = false;
    portion.marksStart = marks_.position();
}

void ShareBucket::evictOldPortions(TimePoint now)
{
    while (!portionsByAge_.empty()) {
        const auto found = portions_.find(portionsByAge_.front());
        if (found != portions_.end()) {
            const Portion &portion = found->second;
            const auto age = now - portion.grantedAt;
            // A repeated budget request can arrive while its borrower can still use the grant.
            const bool canEvict = !portion.isOutstanding && age > kPortionLifetimeWithDrift
                && (portion.returned == portion.tokens || age > kRefundLifetime
                    || portions_.size() >= kMaxPortions);
            if (!canEvict) {
                marks_.forgetBefore(portion.marksAtGrant);
                return;
            }
            portions_.erase(found);
        }
        portionsByAge_.pop_front();
    }
    marks_.forgetBefore(marks_.position());
}

} // namespace boragerack::decisions
