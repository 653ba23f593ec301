#include "boragerack/decisions/serving/FleetTokenLimiter.h"

#include <algorithm>

namespace boragerack::decisions {

namespace {

/// Below this part of its size a bucket is low.
constexpr double kLowPart = 0.3;
/// Parts of the tolerance with which the buckets of a new coordinator start, so that two changes of
/// the coordinator within one window stay within it, and by which the buckets are larger.
constexpr std::int64_t kStartParts = 3;
constexpr std::int64_t kExtraParts = 2;

} // namespace

FleetTokenLimiter::FleetTokenLimiter(std::int64_t tolerance)
    : startTokens_(tolerance / kStartParts)
    , extraTokens_(tolerance / kExtraParts)
{
}

void FleetTokenLimiter::accrue(Bucket &bucket, core::TimePoint now) const
{
    const double seconds = std::chrono::duration<double>(now - bucket.accruedAt).count();
    const double accrued =
        static_cast<double>(bucket.limit.tokensPerSecond) * share_ * std::max(0.0, seconds);
    bucket.level = std::min(bucket.level + accrued, sizeOf(bucket.limit));
    bucket.accruedAt = now;
}

void FleetTokenLimiter::setLimits(const Limits &limits, core::TimePoint now)
{
    std::erase_if(buckets_, [&](const auto &item) { return !limits.contains(item.first); });
    for (const auto &[organisation, limit] : limits) {
        const auto [position, isNew] = buckets_.try_emplace(organisation);
        Bucket &bucket = position->second;
        if (isNew) {
            bucket.level = static_cast<double>(std::min(startTokens_, limit.burstTokens));
            bucket.accruedAt = now;
        } else {
            accrue(bucket, now);
            bucket.level = std::min(bucket.level, sizeOf(limit));
        }
        bucket.limit = limit;
    }
}

void FleetTokenLimiter::setRateFraction(double share, core::TimePoint now)
{
    if (share == share_)
        return;
    for (auto &[organisation, bucket] : buckets_)
        accrue(bucket, now);
    share_ = share;
}

double FleetTokenLimiter::sizeOf(const RateLimit &limit) const
{
    return static_cast<double>(limit.burstTokens + extraTokens_);
}

TokenAmount FleetTokenLimiter::grant(const TokenRequest &ask, core::TimePoint now)
{
    const auto position = buckets_.find(ask.organisation);
    if (position == buckets_.end())
        return {ask.organisation, 0};
    Bucket &bucket = position->second;
    accrue(bucket, now);
    const bool isLow = bucket.level < kLowPart * sizeOf(bucket.limit);
    const std::int64_t wanted = ask.waiting + (isLow ? 0 : ask.reserve);
    const std::int64_t tokens =
        std::clamp<std::int64_t>(static_cast<std::int64_t>(bucket.level), 0, wanted);
    bucket.level -= static_cast<double>(tokens);
    return {ask.organisation, tokens};
}

} // namespace boragerack::decisions
