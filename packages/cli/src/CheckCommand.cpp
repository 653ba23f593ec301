#include "CheckCommand.h"

#include <ostream>

#include "CommandOptions.h"
#include "EvacuationCheck.h"
#include "InputFile.h"
#include "ListFiles.h"
#include "PlatformSession.h"
#include "boragerack/config/LoadGeneratorSettings.h"
#include "boragerack/config/NodeSettings.h"
#include "boragerack/config/ServiceObjectives.h"

namespace boragerack::cli {

namespace options = boost::program_options;

namespace {

/// Validates settings files with `parse` and reports the first invalid one.
template<class Parser>
ExitCode checkSettings(const std::vector<std::string> &paths, Parser parse,
                       std::string_view command, const Streams &streams)
{
    for (const std::string &path : paths) {
        const auto text = readInputFile(path);
        if (!core::isOk(text))
            return reportError(streams, command, core::errorOf(text).message, UsageError);
        const auto settings = parse(path, core::valueOf(text));
        if (!core::isOk(settings))
            return reportError(streams, command, core::errorOf(settings).message, ConditionFailed);
        streams.out << path << ": ok\n";
    }
    return Succeeded;
}

/// Compares the lists with the instance list of the platform. Warnings do not fail the check,
/// because instances may be listed later.
ExitCode checkInstances(const options::variables_map &values, const ListFiles &files,
                        std::string_view command, const Streams &streams)
{
    const auto platformOptions = readPlatformOptions(values);
    if (!core::isOk(platformOptions))
        return reportError(streams, command, core::errorOf(platformOptions).message, UsageError);
    PlatformSession session(core::valueOf(platformOptions).address,
                            core::valueOf(platformOptions).timeout);
    const auto instances = session.store().listInstances();
    if (!core::isOk(instances))
        return reportError(streams, command, core::errorOf(instances).message, PlatformUnreachable);
    for (const std::string &warning : findEvacuationWarnings(files, core::valueOf(instances)))
        reportError(streams, command, "warning: " + warning, Succeeded);
    return Succeeded;
}

} // namespace

int CheckCommand::run(const std::vector<std::string> &arguments, const Streams &streams)
{
    options::options_description description("Options");
    addListOptions(description);
    addPlatformOptions(description, PlatformUse::Optional);
    description.add_options()("settings",
                              options::value<std::vector<std::string>>()->value_name("FILE"),
                              "settings of a node; may be repeated")(
        "load", options::value<std::vector<std::string>>()->value_name("FILE"),
        "settings of boragerack load; may be repeated")(
        "objectives", options::value<std::vector<std::string>>()->value_name("FILE"),
        "settings of boragerack burn; may be repeated")("help", "print this text");
    const auto parsed = parseOptions(name(), description, arguments, streams);
    if (const ExitCode *code = std::get_if<ExitCode>(&parsed))
        return *code;
    const auto &values = std::get<options::variables_map>(parsed);

    const auto files = readListFiles(values);
    if (!core::isOk(files))
        return reportError(streams, name(), core::errorOf(files).message, UsageError);
    const auto settings = valuesOf(values, "settings");
    const auto load = valuesOf(values, "load");
    const auto objectives = valuesOf(values, "objectives");
    if (core::valueOf(files).empty() && settings.empty() && load.empty() && objectives.empty())
        return reportError(streams, name(), "no file named; see --help", UsageError);
    if (const auto error = findListError(core::valueOf(files)))
        return reportError(streams, name(), *error, ConditionFailed);
    for (const auto &[part, file] : core::valueOf(files))
        streams.out << file.path << ": ok, part " << part << '\n';
    if (values.count("platform") > 0) {
        if (const auto code = checkInstances(values, core::valueOf(files), name(), streams);
            code != Succeeded)
            return code;
    }
    if (const auto code = checkSettings(settings, config::parseNodeSettings, name(), streams);
        code != Succeeded)
        return code;
    if (const auto code = checkSettings(load, config::parseLoadGeneratorSettings, name(), streams);
        code != Succeeded)
        return code;
    return checkSettings(objectives, config::parseServiceObjectives, name(), streams);
}

} // namespace boragerack::cli
