#pragma once

#include <chrono>
#include <cstddef>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "MetricSample.h"
#include "boragerack/core/Clock.h"

namespace boragerack::runtime {
class HttpClient;
} // namespace boragerack::runtime

namespace boragerack::cli {

/// Answer of `GET /metrics` of a node.
struct MetricScrape
{
    std::chrono::milliseconds time = {};
    std::string node;
    std::string metrics;

    friend auto operator<=>(const MetricScrape &, const MetricScrape &) = default;
};

/// One line of a file of saved samples: {"timeMs","node","metrics"}.
std::string serialiseMetricScrape(const MetricScrape &text);

/// Reads a file of saved samples; `file` names it in errors.
core::Result<std::vector<MetricScrape>> parseMetricScrapes(std::string_view file,
                                                           std::string_view text);

/// The series that the burn report uses; others are dropped to save memory.
core::Result<MetricSample> parseSample(const MetricScrape &text);

/// Asks every node once. A node without an answer is left out and named on `warnings`.
std::vector<MetricScrape> scrapeNodes(runtime::HttpClient &client,
                                      const std::vector<std::string> &nodes,
                                      std::ostream &warnings);

} // namespace boragerack::cli
