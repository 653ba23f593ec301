#include "boragerack/decisions/serving/TargetPermitIssuer.h"

#include <algorithm>

namespace boragerack::decisions {

namespace {

/// A reserve is granted from a bucket that is filled to this fraction.
constexpr double kReserveLevelFraction = 0.75;

} // namespace

void TargetPermitIssuer::record(const RateObservation &observation, core::TimePoint now)
{
    const core::TimePoint observedAt = now - observation.age;
    const auto [position, isNew] = buckets_.try_emplace(observation.process);
    Bucket &bucket = position->second;
    if (!isNew && bucket.observedAt > observedAt)
        return;
    accrue(bucket, now);
    bucket.observedAt = observedAt;
    if (bucket.requestsPerSecond != observation.requestsPerSecond)
        ++version_;
    bucket.requestsPerSecond = observation.requestsPerSecond;
}

void TargetPermitIssuer::accrue(Bucket &bucket, core::TimePoint now) const
{
    if (bucket.requestsPerSecond) {
        const double seconds = std::chrono::duration<double>(now - bucket.accruedAt).count();
        bucket.level = std::min(bucket.level + *bucket.requestsPerSecond * rateFraction_ * seconds,
                                permitCapacity(*bucket.requestsPerSecond));
    }
    bucket.accruedAt = now;
}

PermitGrant TargetPermitIssuer::grant(const PermitRequest &request, core::TimePoint now)
{
    const auto position = std::ranges::find_if(buckets_, [&](const auto &item) {
        return item.first.target == request.target && item.second.requestsPerSecond;
    });
    if (position == buckets_.end())
        return {request.target, 0};
    Bucket &bucket = position->second;
    accrue(bucket, now);
    const bool isNearlyFull =
        bucket.level >= kReserveLevelFraction * permitCapacity(*bucket.requestsPerSecond);
    const std::uint32_t wanted = request.waiting + (isNearlyFull ? request.reserve : 0);
    const std::uint32_t permits = std::min(static_cast<std::uint32_t>(bucket.level), wanted);
    bucket.level -= permits;
    return {request.target, permits};
}

void TargetPermitIssuer::setRateFraction(double fraction, core::TimePoint now)
{
    if (fraction == rateFraction_)
        return;
    for (auto &[process, bucket] : buckets_)
        accrue(bucket, now);
    rateFraction_ = fraction;
}

std::vector<TargetRate> TargetPermitIssuer::rates() const
{
    std::vector<TargetRate> rates;
    for (const auto &[process, bucket] : buckets_) {
        if (bucket.requestsPerSecond)
            rates.push_back({process.target, process.startedAt, *bucket.requestsPerSecond});
    }
    return rates;
}

} // namespace boragerack::decisions
