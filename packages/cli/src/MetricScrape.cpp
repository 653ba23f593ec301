#include "MetricScrape.h"

#include <algorithm>
#include <exception>
#include <ostream>
#include <utility>

#include <boost/json.hpp>

#include "boragerack/runtime/HttpClient.h"

namespace boragerack::cli {

namespace json = boost::json;

namespace {

constexpr std::string_view kMetricPrefix = "boragerack_";
constexpr std::chrono::seconds kScrapeTimeout(5);
constexpr unsigned kStatusOk = 200;

std::chrono::milliseconds systemTime()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

std::string serialiseMetricScrape(const MetricScrape &scrape)
{
    return json::serialize(json::object {
        {"timeMs", scrape.time.count()}, {"node", scrape.node}, {"metrics", scrape.metrics}});
}

core::Result<std::vector<MetricScrape>> parseMetricScrapes(std::string_view file,
                                                           std::string_view text)
{
    std::vector<MetricScrape> scrapes;
    std::size_t number = 0;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        ++number;
        if (line.empty())
            continue;
        try {
            const json::value value = json::parse(line);
            scrapes.push_back(
                {std::chrono::milliseconds(value.at("timeMs").to_number<std::int64_t>()),
                 json::value_to<std::string>(value.at("node")),
                 json::value_to<std::string>(value.at("metrics"))});
        } catch (const std::exception &exception) {
            return core::makeNotRunError(core::ErrorCode::InvalidRequest,
                                         std::string(file) + ": line " + std::to_string(number)
                                             + ": found " + exception.what()
                                             + ", expected an object with timeMs, node and "
                                               "metrics");
        }
    }
    return scrapes;
}

core::Result<MetricSample> parseSample(const MetricScrape &scrape)
{
    auto values = parseExposition(scrape.metrics);
    if (!core::isOk(values)) {
        core::Error error = core::errorOf(values);
        error.message = scrape.node + ": " + error.message;
        return error;
    }
    MetricSample sample {scrape.time, scrape.node, core::takeValue(std::move(values))};
    std::erase_if(sample.values,
                  [](const auto &entry) { return !entry.first.name.starts_with(kMetricPrefix); });
    return sample;
}

std::vector<MetricScrape> scrapeNodes(runtime::HttpClient &client,
                                      const std::vector<std::string> &nodes, std::ostream &warnings)
{
    std::vector<MetricScrape> scrapes;
    for (const std::string &node : nodes) {
        const auto response = client.call(node, {"GET", "/metrics", {}, ""},
                                          std::chrono::steady_clock::now() + kScrapeTimeout);
        if (!core::isOk(response)) {
            warnings << "burn: no metrics of " << core::errorOf(response).message << '\n';
        } else if (core::valueOf(response).status != kStatusOk) {
            warnings << "burn: no metrics of " << node << ": status "
                     << core::valueOf(response).status << '\n';
        } else {
            scrapes.push_back({systemTime(), node, core::valueOf(response).body});
        }
    }
    return scrapes;
}

} // namespace boragerack::cli
