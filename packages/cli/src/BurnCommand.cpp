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

core::Error invalid(const std::string &message)
{
    return core::makeNotRunError(core::ErrorCode::InvalidRequest, message);
}

core::Result<core::Nothing> checkValues(const options::variables_map &values)
{
    const auto samples = values["samples"].as<std::int64_t>();
    const auto interval = values["interval-ms"].as<std::int64_t>();
    if (samples < 1 || samples > kMaxSamples) {
        return invalid("--samples: found " + std::to_string(samples)
                       + ", expected an integer from 1 to " + std::to_string(kMaxSamples));
    }
    if (interval < 1 || interval > kMaxIntervalMs) {
        return invalid("--interval-ms: found " + std::to_string(interval)
                       + ", expected an integer from 1 to " + std::to_string(kMaxIntervalMs));
    }
    for (const std::string &node : valuesOf(values, "node")) {
        if (!config::parseSocketAddress(node))
            return invalid("--node: found \"" + node + "\", expected an IP address and a port");
    }
    if (values.count("node") == 0 && values.count("saved") == 0)
        return invalid("neither --node nor --saved is given; see --help");
    return core::Nothing();
}

core::Result<config::ServiceObjectives> readObjectives(const std::string &path)
{
    const auto text = readInputFile(path);
    if (!core::isOk(text))
        return core::errorOf(text);
    return config::parseServiceObjectives(path, core::valueOf(text));
}

core::Result<core::Nothing> addSamples(const std::vector<MetricScrape> &texts,
                                       std::vector<MetricSample> &samples)
{
    for (const MetricScrape &text : texts) {
        auto sample = parseSample(text);
        if (!core::isOk(sample))
            return core::errorOf(sample);
        samples.push_back(core::takeValue(std::move(sample)));
    }
    return core::Nothing();
}

core::Result<core::Nothing> readSaved(const std::vector<std::string> &paths,
                                      std::vector<MetricSample> &samples)
{
    for (const std::string &path : paths) {
        const auto text = readInputFile(path);
        if (!core::isOk(text))
            return core::errorOf(text);
        const auto texts = parseMetricScrapes(path, core::valueOf(text));
        if (!core::isOk(texts))
            return core::errorOf(texts);
        if (auto added = addSamples(core::valueOf(texts), samples); !core::isOk(added))
            return added;
    }
    return core::Nothing();
}

/// Reads the nodes at the times that the options ask for.
core::Result<core::Nothing> readLive(const options::variables_map &values, std::ostream &warnings,
                                     std::vector<MetricSample> &samples)
{
    std::ofstream file;
    if (values.count("save") > 0) {
        file.open(values["save"].as<std::string>(), std::ios::app);
        if (!file)
            return invalid("cannot write " + values["save"].as<std::string>());
    }
    runtime::FiberRuntime fiberRuntime;
    runtime::HttpClient client(fiberRuntime.ioContext(), {});
    const std::chrono::milliseconds interval(values["interval-ms"].as<std::int64_t>());
    auto next = std::chrono::steady_clock::now();
    std::size_t answers = 0;
    for (std::int64_t i = 0; i < values["samples"].as<std::int64_t>(); ++i) {
        boost::this_fiber::sleep_until(next);
        next += interval;
        const auto texts = scrapeNodes(client, valuesOf(values, "node"), warnings);
        answers += texts.size();
        for (const MetricScrape &text : texts)
            file << serialiseMetricScrape(text) << std::endl;
        if (auto added = addSamples(texts, samples); !core::isOk(added))
            return added;
    }
    if (answers == 0) {
        return core::makeNotRunError(core::ErrorCode::PlatformUnavailable,
                                     "no node answered /metrics");
    }
    return core::Nothing();
}

/// Whether an organisation burns too fast now and not only in a short peak.
bool isTooFast(const BurnRateReport &report, double limit)
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
    if (const auto read = readSaved(valuesOf(values, "saved"), samples); !core::isOk(read))
        return reportError(streams, name(), core::errorOf(read).message, UsageError);
    if (values.count("node") > 0) {
        if (const auto read = readLive(values, streams.err, samples); !core::isOk(read))
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
    if (values.count("fail-above") > 0 && isTooFast(report, values["fail-above"].as<double>()))
        return reportError(streams, name(), "an organisation burns faster than the limit",
                           ConditionFailed);
    return Succeeded;
}

} // namespace boragerack::cli
