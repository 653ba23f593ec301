#include "LatencyHistogram.h"

#include <algorithm>
#include <cmath>

namespace boragerack::cli {

namespace {

constexpr double kBucketRatio = 1.01;

/// Smallest n for which kBucketRatio^n microseconds is at least the latency.
int bucketOf(std::chrono::microseconds latency)
{
    const double count = std::max<double>(1, static_cast<double>(latency.count()));
    return static_cast<int>(std::ceil(std::log(count) / std::log(kBucketRatio)));
}

std::chrono::microseconds upperBound(int bucket)
{
    return std::chrono::microseconds(std::llround(std::pow(kBucketRatio, bucket)));
}

} // namespace

void LatencyHistogram::add(std::chrono::microseconds latency)
{
    ++buckets_[bucketOf(latency)];
    ++count_;
    max_ = std::max(max_, latency);
}

LatencySummary LatencyHistogram::summarise() const
{
    constexpr std::uint64_t kP50 = 500;
    constexpr std::uint64_t kP95 = 950;
    constexpr std::uint64_t kP99 = 990;
    return {count_, percentile(kP50), percentile(kP95), percentile(kP99), max_};
}

std::chrono::microseconds LatencyHistogram::percentile(std::uint64_t perMille) const
{
    constexpr std::uint64_t kPerMille = 1000;
    const std::uint64_t rank = (count_ * perMille + kPerMille - 1) / kPerMille;
    std::uint64_t seen = 0;
    for (const auto &[bucket, count] : buckets_) {
        seen += count;
        if (seen >= rank)
            return std::min(upperBound(bucket), max_);
    }
    return max_;
}

} // namespace boragerack::cli
