#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace boragerack::runtime {

/// Metric name and formatted labels of one time series.
struct SeriesKey
{
    std::string name;
    std::string labels;

    friend auto operator<=>(const SeriesKey &, const SeriesKey &) = default;
};

/// Formats labels for the text exposition format: `organisation="a",code="b"`.
std::string makeLabels(std::initializer_list<std::pair<std::string_view, std::string_view>> labels);

/// Counters, gauges and latency histograms of this process. Label values come from the catalogue
/// and the error codes, so the number of series is bounded; keys and other caller data are never
/// labels.
class Metrics
{
public:
    void add(std::string_view name, const std::string &labels, std::uint64_t amount = 1);
    void set(std::string_view name, const std::string &labels, std::int64_t value);
    void observe(std::string_view name, const std::string &labels, std::chrono::nanoseconds time);

    /// All series in the text exposition format.
    std::string expose() const;

private:
    static constexpr std::array<double, 14> kBucketSeconds = {
        0.001, 0.002, 0.005, 0.01, 0.02, 0.041, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};

    struct Histogram
    {
        std::array<std::uint64_t, kBucketSeconds.size()> buckets = {};
        std::uint64_t count = 0;
        double sumSeconds = 0;
    };

    std::map<SeriesKey, std::uint64_t> counters_;
    std::map<SeriesKey, std::int64_t> gauges_;
    std::map<SeriesKey, Histogram> histograms_;
};

} // namespace boragerack::runtime
