#pragma once

#include <map>
#include <string>
#include <vector>

#include "MetricSample.h"

namespace boragerack::cli {

/// Metric samples of all nodes over time.
class MetricHistory
{
public:
    static MetricHistory make(std::vector<MetricSample> samples);

    /// Increase of the counters, summed over all nodes, in a period.
    ///
    /// The increase between two samples of a node is interpolated linearly. A series missing from
    /// the earlier sample is taken as zero there. A decrease is a counter reset after a restart, so
    /// the new value is the increase. Counts before a node's first sample are excluded because
    /// their time is unknown.
    MetricValues increase(std::chrono::milliseconds from, std::chrono::milliseconds to) const;

    /// For gauges: maximum over the nodes of each series in the last sample at or before `time`.
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
