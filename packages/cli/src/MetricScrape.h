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

/// Response of a node to `GET /metrics`.
struct MetricScrape
{
    std::chrono::milliseconds time = {};
    std::string node;
    std::string metrics;

    friend auto operator<=>(const MetricScrape &, const MetricScrape &) = default;
};

/// One line of a file of saved samples: {"timeMs","node","metrics"}.
std::string serialiseMetricScrape(const MetricScrape &scrape);

/// Parses a file of saved samples; `file` is its name in error messages.
core::Result<std::vector<MetricScrape>> parseMetricScrapes(std::string_view file,
                                                           std::string_view text);

/// Parses a scrape. Only series with the prefix boragerack_ are kept, to save memory.
core::Result<MetricSample> parseSample(const MetricScrape &scrape);

/// Scrapes each node once. A failed node is skipped and reported on `warnings`.
std::vector<MetricScrape> scrapeNodes(runtime::HttpClient &client,
                                      const std::vector<std::string> &nodes,
                                      std::ostream &warnings);

} // namespace boragerack::cli
