#include "BurnCommand.h"

#include <algorithm>
#include <fstream>
#include <ostream>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "BurnPage.h"
#include "BurnText.h"
#include "CommandOptions.h"
#include "InputFile.h"
#include "MetricScrape.h"
#include "boragerack/config/NodeSettings.h"
#include "boragerack/runtime/FiberRuntime.h"
#include "boragerack/runtime/HttpClient.h"

namespace boragerack::cli {

namespace options = boost::program_options;

namespace {

constexpr std::int64_t kMaxSamples = 10'000;
constexpr std::int64_t kMaxIntervalMs = 3'600'000;

options::options_description makeDescription()
{
    using Texts = std::vector<std::string>;
    options::options_description description("Options");
    description.add_options()("objectives",
                              options::value<std::string>()->required()->value_name("FILE"),
                              "objectives (docs/operators.md)")(
        "node", options::value<Texts>()->value_name("ADDRESS"),
        "caller address of a node whose /metrics is read; may be repeated")(
        "samples", options::value<std::int64_t>()->default_value(2), "times to read the nodes")(
        "interval-ms", options::value<std::int64_t>()->default_value(10'000),
        "time between two reads")("saved", options::value<Texts>()->value_name("FILE"),
                                  "samples that --save wrote; may be repeated")(
        "save", options::value<std::string>()->value_name("FILE"),
        "append what is read from the nodes to this file")(
        "html", options::value<std::string>()->value_name("FILE"),
        "also write the report as a page")(
        "fail-above", options::value<double>()->value_name("RATE"),
        "exit with 1 if an organisation burns faster in both of the two shortest windows")(
        "help", "print this text");
    return description;
}

core::Error makeInvalidRequestError(const std::string &message)
{
    return core::makeNotRunError(core::ErrorCode::InvalidRequest, message);
}

core::Result<core::Nothing> checkValues(const options::variables_map &values)
{
    const auto samples = values["samples"].as<std::int64_t>();
    const auto interval = values["interval-ms"].as<std::int64_t>();
    if (samples < 1 || samples > kMaxSamples) {
        return makeInvalidRequestError("--samples: found " + std::to_string(samples)
                                       + ", expected an integer from 1 to "
                                       + std::to_string(kMaxSamples));
    }
    if (interval < 1 || interval > kMaxIntervalMs) {
        return makeInvalidRequestError("--interval-ms: found " + std::to_string(interval)
                                       + ", expected an integer from 1 to "
                                       + std::to_string(kMaxIntervalMs));
    }
    for (const std::string &node : valuesOf(values, "node")) {
        if (!config::parseSocketAddress(node))
            return makeInvalidRequestError("--node: found \"" + node
                                           + "\", expected an IP address and a port");
    }
    if (values.count("node") == 0 && values.count("saved") == 0)
        return makeInvalidRequestError("neither --node nor --saved is given; see --help");
    return core::Nothing();
}

core::Result<config::ServiceObjectives> readObjectives(const std::string &path)
{
    const auto text = readInputFile(path);
    if (!core::isOk(text))
        return core::errorOf(text);
    return config::parseServiceObjectives(path, core::valueOf(text));
}

core::Result<core::Nothing> addSamples(const std::vector<MetricScrape> &scrapes,
                                       std::vector<MetricSample> &samples)
{
    for (const MetricScrape &scrape : scrapes) {
        auto sample = parseSample(scrape);
        if (!core::isOk(sample))
            return core::errorOf(sample);
        samples.push_back(core::takeValue(std::move(sample)));
    }
    return core::Nothing();
}

core::Result<core::Nothing> readSavedSamples(const std::vector<std::string> &paths,
                                             std::vector<MetricSample> &samples)
{
    for (const std::string &path : paths) {
        const auto text = readInputFile(path);
        if (!core::isOk(text))
            return core::errorOf(text);
        const auto scrapes = parseMetricScrapes(path, core::valueOf(text));
        if (!core::isOk(scrapes))
            return core::errorOf(scrapes);
        if (auto added = addSamples(core::valueOf(scrapes), samples); !core::isOk(added))
            return added;
    }
    return core::Nothing();
}

/// Scrapes the nodes `--samples` times, `--interval-ms` apart.
core::Result<core::Nothing> scrapeSamples(const options::variables_map &values,
                                          std::ostream &warnings,
                                          std::vector<MetricSample> &samples)
{
    std::ofstream file;
    if (values.count("save") > 0) {
        file.open(values["save"].as<std::string>(), std::ios::app);
        if (!file)
            return makeInvalidRequestError("cannot write " + values["save"].as<std::string>());
    }
    runtime::FiberRuntime fiberRuntime;
    runtime::HttpClient client(fiberRuntime.ioContext(), {});
    const std::chrono::milliseconds interval(values["interval-ms"].as<std::int64_t>());
    auto next = std::chrono::steady_clock::now();
    std::size_t answers = 0;
    for (std::int64_t i = 0; i < values["samples"].as<std::int64_t>(); ++i) {
        boost::this_fiber::sleep_until(next);
        next += interval;
        const auto scrapes = scrapeNodes(client, valuesOf(values, "node"), warnings);
        answers += scrapes.size();
        for (const MetricScrape &scrape : scrapes)
            file << serialiseMetricScrape(scrape) << std::endl;
        if (auto added = addSamples(scrapes, samples); !core::isOk(added))
            return added;
    }
    if (answers == 0) {
        return core::makeNotRunError(core::ErrorCode::PlatformUnavailable,
                                     "no node answered /metrics");
    }
    return core::Nothing();
}

/// Whether the burn rate of an organisation exceeds the limit in both of the two shortest windows,
/// so that a short peak alone does not count.
bool exceedsBurnRate(const BurnRateReport &report, double limit)
{
    return std::any_of(report.rows.begin(), report.rows.end(), [&](const BurnRateRow &row) {
        return row.model.empty()
            && std::all_of(row.windows.begin(), row.windows.begin() + 2,
                           [&](const BurnRateWindow &window) {
                               return window.burnRate.value_or(0) > limit;
                           });
    });
}

} // namespace

int BurnCommand::run(const std::vector<std::string> &arguments, const Streams &streams)
{
    const auto parsed = parseOptions(name(), makeDescription(), arguments, streams);
    if (const ExitCode *code = std::get_if<ExitCode>(&parsed))
        return *code;
    const auto &values = std::get<options::variables_map>(parsed);
    if (const auto checked = checkValues(values); !core::isOk(checked))
        return reportError(streams, name(), core::errorOf(checked).message, UsageError);
    const auto objectives = readObjectives(values["objectives"].as<std::string>());
    if (!core::isOk(objectives))
        return reportError(streams, name(), core::errorOf(objectives).message, UsageError);

    std::vector<MetricSample> samples;
    if (const auto read = readSavedSamples(valuesOf(values, "saved"), samples); !core::isOk(read))
        return reportError(streams, name(), core::errorOf(read).message, UsageError);
    if (values.count("node") > 0) {
        if (const auto read = scrapeSamples(values, streams.err, samples); !core::isOk(read))
            return reportError(streams, name(), core::errorOf(read).message,
                               exitCodeOf(core::errorOf(read)));
    }
    const MetricHistory history = MetricHistory::make(std::move(samples));
    if (history.begin() == history.end())
        return reportError(streams, name(), "found samples of fewer than two times", UsageError);
    const BurnRateReport report = computeBurnRates(history, core::valueOf(objectives));
    streams.out << formatBurnText(report);
    if (values.count("html") > 0) {
        std::ofstream page(values["html"].as<std::string>());
        page << formatBurnPage(report);
        if (!page.flush())
            return reportError(streams, name(), "cannot write " + values["html"].as<std::string>(),
                               UsageError);
    }
    if (values.count("fail-above") > 0
        && exceedsBurnRate(report, values["fail-above"].as<double>()))
        return reportError(streams, name(), "an organisation burns faster than the limit",
                           ConditionFailed);
    return Succeeded;
}

} // namespace boragerack::cli
