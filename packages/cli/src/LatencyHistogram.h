#pragma once

#include <chrono>
#include <cstdint>
#include <map>

namespace boragerack::cli {

/// Percentiles of a set of latencies.
struct LatencySummary
{
    std::uint64_t count = 0;
    std::chrono::microseconds p50 = {};
    std::chrono::microseconds p95 = {};
    std::chrono::microseconds p99 = {};
    std::chrono::microseconds max = {};

    friend auto operator<=>(const LatencySummary &, const LatencySummary &) = default;
};

/// Latency histogram with bucket bounds that grow by 1%, so that a percentile is overestimated by
/// at most 1%. The maximum is exact.
class LatencyHistogram
{
public:
    void add(std::chrono::microseconds latency);
    LatencySummary summarise() const;

private:
    std::chrono::microseconds percentile(std::uint64_t perMille) const;

    std::map<int, std::uint64_t> buckets_;
    std::uint64_t count_ = 0;
    std::chrono::microseconds max_ = {};
};

} // namespace boragerack::cli
