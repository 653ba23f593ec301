#pragma once

#include <map>
#include <string>
#include <vector>

#include "MetricSample.h"

namespace boragerack::cli {

/// Counters of all nodes over time.
class MetricHistory
{
public:
    static MetricHistory make(std::vector<MetricSample> samples);

    /// What the counters of all nodes together grew by in a span of time.
    ///
    /// The growth between two samples of a node is spread evenly over the time between them. A
    /// series that is missing from the earlier sample started at zero. A counter that fell was
    /// reset by a restart, so its new value is the growth. What a node counted before its first
    /// sample is left out, because it is not known when that was.
    MetricValues increase(std::chrono::milliseconds from, std::chrono::milliseconds to) const;

    /// Highest value of each series among the nodes' last samples up to a time; for gauges.
    MetricValues latest(std::chrono::milliseconds time) const;

    /// Times of the first and the last sample; zero without samples.
    std::chrono::milliseconds begin() const { return begin_; }
    std::chrono::milliseconds end() const { return end_; }

private:
    std::map<std::string, std::vector<MetricSample>> samplesByNode_;
    std::chrono::milliseconds begin_ = {};
    std::chrono::milliseconds end_ = {};
};

} // namespace boragerack::cli
