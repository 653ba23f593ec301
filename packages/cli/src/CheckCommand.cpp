#include "CheckCommand.h"

#include <ostream>

#include "CommandLine.h"
#include "InputFile.h"
#include "ListFiles.h"
#include "boragerack/config/NodeSettings.h"

namespace boragerack::cli {

namespace options = boost::program_options;

namespace {

/// Reports the first wrong settings file.
ExitCode checkSettings(const std::vector<std::string> &paths, std::string_view command,
                       const Streams &streams)
{
    for (const std::string &path : paths) {
        const auto text = readInputFile(path);
        if (!core::isOk(text))
            return fail(streams, command, core::errorOf(text).message, UsageError);
        const auto settings = config::parseNodeSettings(path, core::valueOf(text));
        if (!core::isOk(settings))
            return fail(streams, command, core::errorOf(settings).message, ConditionFailed);
        streams.out << path << ": ok, settings of node " << core::valueOf(settings).instance.value
                    << '\n';
    }
    return Succeeded;
}

} // namespace

int CheckCommand::run(const std::vector<std::string> &arguments, const Streams &streams)
{
    options::options_description description("Options");
    addListOptions(description);
    description.add_options()("settings",
                              options::value<std::vector<std::string>>()->value_name("FILE"),
                              "settings of a node; may be repeated")("help", "print this text");
    const auto parsed = parseOptions(name(), description, arguments, streams);
    if (const ExitCode *code = std::get_if<ExitCode>(&parsed))
        return *code;
    const auto &values = std::get<options::variables_map>(parsed);

    const auto files = readListFiles(values);
    if (!core::isOk(files))
        return fail(streams, name(), core::errorOf(files).message, UsageError);
    const auto settings = valuesOf(values, "settings");
    if (core::valueOf(files).empty() && settings.empty())
        return fail(streams, name(), "no file named; see --help", UsageError);
    if (const auto fault = findFault(core::valueOf(files)))
        return fail(streams, name(), *fault, ConditionFailed);
    for (const auto &[part, file] : core::valueOf(files))
        streams.out << file.path << ": ok, part " << part << '\n';
    return checkSettings(settings, name(), streams);
}

} // namespace boragerack::cli
