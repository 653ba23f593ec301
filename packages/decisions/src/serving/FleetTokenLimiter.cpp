#include "boragerack/decisions/serving/FleetTokenLimiter.h"

#include <algorithm>

namespace boragerack::decisions {

namespace {

/// A bucket is low below this fraction of its capacity.
constexpr double kLowLevelFraction = 0.3;
/// The buckets of a new coordinator start with the tolerance divided by `kInitialToleranceDivisor`,
/// so that two changes of the coordinator within one window stay within the tolerance. The buckets
/// are enlarged by the tolerance divided by `kExtraToleranceDivisor`.
constexpr std::int64_t kInitialToleranceDivisor = 3;
constexpr std::int64_t kExtraToleranceDivisor = 2;

} // namespace

FleetTokenLimiter::FleetTokenLimiter(std::int64_t tolerance)
    : initialTokens_(tolerance / kInitialToleranceDivisor)
    , extraTokens_(tolerance / kExtraToleranceDivisor)
{
}

void FleetTokenLimiter::accrue(Bucket &bucket, core::TimePoint now) const
{
    const double seconds = std::chrono::duration<double>(now - bucket.accruedAt).count();
    const double accrued =
        static_cast<double>(bucket.limit.tokensPerSecond) * rateFraction_ * std::max(0.0, seconds);
    bucket.level = std::min(bucket.level + accrued, capacityOf(bucket.limit));
    bucket.accruedAt = now;
}

void FleetTokenLimiter::setLimits(const Limits &limits, core::TimePoint now)
{
    std::erase_if(buckets_, [&](const auto &item) { return !limits.contains(item.first); });
    for (const auto &[organisation, limit] : limits) {
        const auto [position, isNew] = buckets_.try_emplace(organisation);
        Bucket &bucket = position->second;
        if (isNew) {
            bucket.level = static_cast<double>(std::min(initialTokens_, limit.burstTokens));
            bucket.accruedAt = now;
        } else {
            accrue(bucket, now);
            bucket.level = std::min(bucket.level, capacityOf(limit));
        }
        bucket.limit = limit;
    }
}

void FleetTokenLimiter::setRateFraction(double fraction, core::TimePoint now)
{
    if (fraction == rateFraction_)
        return;
    for (auto &[organisation, bucket] : buckets_)
        accrue(bucket, now);
    rateFraction_ = fraction;
}

double FleetTokenLimiter::capacityOf(const RateLimit &limit) const
{
    return static_cast<double>(limit.burstTokens + extraTokens_);
}

TokenAmount FleetTokenLimiter::grant(const TokenRequest &request, core::TimePoint now)
{
    const auto position = buckets_.find(request.organisation);
    if (position == buckets_.end())
        return {request.organisation, 0};
    Bucket &bucket = position->second;
    accrue(bucket, now);
    const bool isLow = bucket.level < kLowLevelFraction * capacityOf(bucket.limit);
    const std::int64_t wanted = request.waiting + (isLow ? 0 : request.reserve);
    const std::int64_t tokens =
        std::clamp<std::int64_t>(static_cast<std::int64_t>(bucket.level), 0, wanted);
    bucket.level -= static_cast<double>(tokens);
    return {request.organisation, tokens};
}

} // namespace boragerack::decisions
