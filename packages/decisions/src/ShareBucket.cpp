#include "boragerack/decisions/ShareBucket.h"

#include <algorithm>

namespace boragerack::decisions {

namespace {

/// A share accrues `tokensPerSecond` units per nanosecond. The surplus of 1% over 10^9 slows
/// accrual, so that a holder whose clock runs 1% fast does not exceed the rate.
constexpr std::int64_t kUnitsPerToken = 1'010'000'000;

/// Bounds the memory of a bucket. The oldest portion that ended is forgotten first, and its later
/// refunds count as spent.
constexpr std::size_t kMaxPortions = 8192;

} // namespace

ShareBucket::ShareBucket(const RateLimit &limit, std::int64_t parts, TimePoint emptyAt,
                         const BudgetFaults &faults)
    : limit_(limit)
    , parts_(parts)
    , faults_(faults)
    , cap_(limit.burstTokens * kUnitsPerToken)
    , level_(faults.startFull ? cap_ : 0)
    , accruedUntil_(emptyAt)
{
}

std::int64_t ShareBucket::grant(const PortionId &id, std::int64_t wanted, TimePoint now)
{
    advance(now);
    if (const auto found = portions_.find(id); found != portions_.end()) {
        if (!faults_.grantRepeatedAsks)
            return found->second.tokens;
        end(found->second, 0);
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
    portion.marksFrom = marks_.position();
    portion.grantedAtMark = marks_.position();
    outstanding_ += toUnits(tokens);
    portions_.emplace(id, portion);
    byAge_.push_back(id);
    if (portion.isOutstanding)
        expiring_.push_back(id);
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
        end(portion, total);
        portion.returned = total;
        return;
    }
    const std::int64_t refund =
        toUnits(faults_.creditRepeatedReturns ? total : total - portion.returned);
    if (refund <= 0)
        return;
    portion.returned = std::max(portion.returned, total);
    const std::int64_t room = faults_.refundAboveCap
        ? cap_ - held()
        : cap_ - marks_.highestSince(portion.marksFrom, held());
    const std::int64_t credit =
        std::clamp<std::int64_t>(refund, 0, std::max<std::int64_t>(room, 0));
    marks_.raiseSince(portion.marksFrom, credit);
    level_ += credit;
}

void ShareBucket::setLimit(const RateLimit &limit, TimePoint now)
{
    advance(now);
    limit_ = limit;
    cap_ = limit.burstTokens * kUnitsPerToken;
    level_ = std::clamp<std::int64_t>(cap_ - outstanding_, 0, level_);
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
    return portions_.empty() && level_ == cap_ && limit_.tokensPerSecond > 0;
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
    const std::int64_t room =
        std::max<std::int64_t>(0, cap_ - level_ - (faults_.ignoreOutstanding ? 0 : outstanding_));
    if (limit_.tokensPerSecond <= 0)
        return;
    // The comparison avoids overflow of the product after a long idle time.
    level_ += elapsed > room / limit_.tokensPerSecond ? room : limit_.tokensPerSecond * elapsed;
}

void ShareBucket::advance(TimePoint now)
{
    while (!expiring_.empty()) {
        const auto found = portions_.find(expiring_.front());
        if (found != portions_.end() && found->second.isOutstanding) {
            const TimePoint expiry = found->second.grantedAt + kPortionLifetimeWithDrift;
            if (expiry > now)
                break;
            accrueUntil(expiry);
            end(found->second, 0);
        }
        expiring_.pop_front();
    }
    accrueUntil(now);
    forgetOld(now);
}

/// Until here the whole portion counted as held, so a return needs no high-water mark from before.
void ShareBucket::end(Portion &portion, std::int64_t returnedTokens)
{
    marks_.record(held());
    outstanding_ -= toUnits(portion.tokens);
    level_ += toUnits(returnedTokens);
    portion.isOutstanding = false;
    portion.marksFrom = marks_.position();
}

void ShareBucket::forgetOld(TimePoint now)
{
    while (!byAge_.empty()) {
        const auto found = portions_.find(byAge_.front());
        if (found != portions_.end()) {
            const Portion &portion = found->second;
            const auto age = now - portion.grantedAt;
            // A repeated ask can arrive as long as its borrower could still use the answer.
            const bool canGo = !portion.isOutstanding && age > kPortionLifetimeWithDrift
                && (portion.returned == portion.tokens || age > kRefundLifetime
                    || portions_.size() >= kMaxPortions);
            if (!canGo) {
                marks_.forgetBefore(portion.grantedAtMark);
                return;
            }
            portions_.erase(found);
        }
        byAge_.pop_front();
    }
    marks_.forgetBefore(marks_.position());
}

} // namespace boragerack::decisions
