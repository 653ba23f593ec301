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

constexpr std::string_view kPrefix = "boragerack_";
constexpr std::chrono::seconds kReadTimeout(5);
constexpr unsigned kStatusOk = 200;

std::chrono::milliseconds systemTime()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

std::string serialiseMetricScrape(const MetricScrape &text)
{
    return json::serialize(json::object {
        {"timeMs", text.time.count()}, {"node", text.node}, {"metrics", text.metrics}});
}

core::Result<std::vector<MetricScrape>> parseMetricScrapes(std::string_view file,
                                                           std::string_view text)
{
    std::vector<MetricScrape> texts;
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
            texts.push_back(
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
    return texts;
}

core::Result<MetricSample> parseSample(const MetricScrape &text)
{
    auto values = parseExposition(text.metrics);
    if (!core::isOk(values)) {
        core::Error error = core::errorOf(values);
        error.message = text.node + ": " + error.message;
        return error;
    }
    MetricSample sample {text.time, text.node, core::takeValue(std::move(values))};
    std::erase_if(sample.values,
                  [](const auto &entry) { return !entry.first.name.starts_with(kPrefix); });
    return sample;
}

std::vector<MetricScrape> scrapeNodes(runtime::HttpClient &client,
                                      const std::vector<std::string> &nodes, std::ostream &warnings)
{
    std::vector<MetricScrape> texts;
    for (const std::string &node : nodes) {
        const auto response = client.call(node, {"GET", "/metrics", {}, ""},
                                          std::chrono::steady_clock::now() + kReadTimeout);
        if (!core::isOk(response)) {
            warnings << "burn: no metrics of " << core::errorOf(response).message << '\n';
        } else if (core::valueOf(response).status != kStatusOk) {
            warnings << "burn: no metrics of " << node << ": status "
                     << core::valueOf(response).status << '\n';
        } else {
            texts.push_back({systemTime(), node, core::valueOf(response).body});
        }
    }
    return texts;
}

} // namespace boragerack::cli
