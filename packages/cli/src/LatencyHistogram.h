#pragma once

#include <chrono>
#include <cstdint>
#include <map>

namespace boragerack::cli {

/// Percentiles of one group of latencies.
struct LatencySummary
{
    std::uint64_t count = 0;
    std::chrono::microseconds p50 = {};
    std::chrono::microseconds p95 = {};
    std::chrono::microseconds p99 = {};
    std::chrono::microseconds max = {};

    friend auto operator<=>(const LatencySummary &, const LatencySummary &) = default;
};

/// Counts latencies in buckets that are 1% wide, so that a percentile is at most 1% too high. The
/// maximum is exact.
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
