#include "LoadCommand.h"

#include <fstream>
#include <ostream>

#include "CommandOptions.h"
#include "InputFile.h"
#include "LoadGenerator.h"
#include "boragerack/config/NodeSettings.h"
#include "boragerack/runtime/FiberRuntime.h"

namespace boragerack::cli {

namespace options = boost::program_options;

namespace {

core::Result<config::LoadGeneratorSettings> readSettings(const options::variables_map &values)
{
    const auto &path = values["settings"].as<std::string>();
    const auto text = readInputFile(path);
    if (!core::isOk(text))
        return core::errorOf(text);
    auto settings = config::parseLoadGeneratorSettings(path, core::valueOf(text));
    if (core::isOk(settings) && values.count("seed") > 0) {
        config::LoadGeneratorSettings changed = core::valueOf(settings);
        changed.seed = values["seed"].as<std::int64_t>();
        return changed;
    }
    return settings;
}

core::Result<std::vector<std::string>> readKeys(const config::LoadGeneratorSettings &settings)
{
    std::vector<std::string> keys;
    for (const config::LoadGeneratorOrganisation &organisation : settings.organisations) {
        auto key = readInputFile(organisation.keyFile);
        if (!core::isOk(key))
            return core::errorOf(key);
        std::string text = core::takeValue(std::move(key));
        while (text.ends_with('\n') || text.ends_with('\r'))
            text.pop_back();
        if (text.empty()) {
            return core::makeNotRunError(core::ErrorCode::InvalidRequest,
                                         organisation.keyFile
                                             + ": key: found nothing, expected "
                                               "a key in one line");
        }
        keys.push_back(std::move(text));
    }
    return keys;
}

} // namespace

int LoadCommand::run(const std::vector<std::string> &arguments, const Streams &streams)
{
    options::options_description description("Options");
    description.add_options()("settings",
                              options::value<std::string>()->required()->value_name("FILE"),
                              "rate, duration, organisations and models (docs/operators.md)")(
        "node", options::value<std::vector<std::string>>()->required()->value_name("ADDRESS"),
        "caller address of a node that is asked for /v1/addresses; may be repeated")(
        "seed", options::value<std::int64_t>(), "replaces the seed of the settings")(
        "out", options::value<std::string>()->value_name("FILE"),
        "file for the JSON result in place of standard output")("help", "print this text");
    const auto parsed = parseOptions(name(), description, arguments, streams);
    if (const ExitCode *code = std::get_if<ExitCode>(&parsed))
        return *code;
    const auto &values = std::get<options::variables_map>(parsed);
    for (const std::string &node : valuesOf(values, "node")) {
        if (!config::parseSocketAddress(node)) {
            return reportError(streams, name(),
                               "--node: found \"" + node + "\", expected an IP address and a port",
                               UsageError);
        }
    }
    const auto settings = readSettings(values);
    if (!core::isOk(settings))
        return reportError(streams, name(), core::errorOf(settings).message, UsageError);
    auto keys = readKeys(core::valueOf(settings));
    if (!core::isOk(keys))
        return reportError(streams, name(), core::errorOf(keys).message, UsageError);
    std::ofstream file;
    if (values.count("out") > 0) {
        file.open(values["out"].as<std::string>());
        if (!file)
            return reportError(streams, name(), "cannot write " + values["out"].as<std::string>(),
                               UsageError);
    }

    runtime::FiberRuntime fiberRuntime;
    LoadGenerator generator(fiberRuntime.ioContext(), core::valueOf(settings),
                            valuesOf(values, "node"), core::takeValue(std::move(keys)));
    if (const auto probed = generator.probe(); !core::isOk(probed))
        return reportError(streams, name(), core::errorOf(probed).message, PlatformUnreachable);
    const auto records = generator.run(streams.err);
    const LoadTestReport report = makeLoadTestReport(core::valueOf(settings), records);
    (file.is_open() ? static_cast<std::ostream &>(file) : streams.out)
        << serialiseLoadTestReport(core::valueOf(settings), report) << std::endl;
    if (report.total.completed == 0)
        return reportError(streams, name(), "no request was completed", ConditionFailed);
    return Succeeded;
}

} // namespace boragerack::cli
