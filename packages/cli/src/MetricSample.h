#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>

#include "boragerack/core/Result.h"

namespace boragerack::cli {

/// Name and labels of one series.
struct MetricSeries
{
    std::string name;
    std::map<std::string, std::string> labels;

    friend auto operator<=>(const MetricSeries &, const MetricSeries &) = default;
};

using MetricValues = std::map<MetricSeries, double>;

/// The metrics of one node at one time.
struct MetricSample
{
    /// Since the epoch of the system clock.
    std::chrono::milliseconds time = {};
    std::string node;
    MetricValues values;

    friend auto operator<=>(const MetricSample &, const MetricSample &) = default;
};

/// Parses the Prometheus text exposition format; comment lines are skipped.
core::Result<MetricValues> parseExposition(std::string_view text);

/// Value of a label; empty if the series has no such label.
std::string labelOf(const MetricSeries &series, const std::string &label);

} // namespace boragerack::cli
