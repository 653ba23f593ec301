#include "ApplyCommand.h"

#include <ostream>

#include "EditWriter.h"
#include "ListFiles.h"
#include "PartReader.h"
#include "PlatformSession.h"

namespace boragerack::cli {

namespace options = boost::program_options;

int ApplyCommand::run(const std::vector<std::string> &arguments, const Streams &streams)
{
    options::options_description description("Options");
    addListOptions(description);
    addPlatformOptions(description);
    description.add_options()("dry-run", "check and show the changes, write nothing")(
        "help", "print this text");
    const auto parsed = parseOptions(name(), description, arguments, streams);
    if (const ExitCode *code = std::get_if<ExitCode>(&parsed))
        return *code;
    const auto &values = std::get<options::variables_map>(parsed);

    const auto platformOptions = readPlatformOptions(values);
    if (!core::isOk(platformOptions))
        return reportError(streams, name(), core::errorOf(platformOptions).message, UsageError);
    const auto files = readListFiles(values);
    if (!core::isOk(files))
        return reportError(streams, name(), core::errorOf(files).message, UsageError);
    if (core::valueOf(files).empty())
        return reportError(streams, name(), "no file named; see --help", UsageError);

    PlatformSession session(core::valueOf(platformOptions).address,
                            core::valueOf(platformOptions).timeout);
    const auto stored = readStoredParts(session.store());
    if (!core::isOk(stored))
        return reportError(streams, name(), core::errorOf(stored).message, PlatformUnreachable);
    std::map<std::string, std::string> wanted;
    for (const auto &[part, file] : core::valueOf(files))
        wanted[part] = file.text;
    const auto plan = planEdits(core::valueOf(stored), wanted);
    if (const auto *error = std::get_if<config::ListError>(&plan)) {
        return reportError(streams, name(),
                           describeListError(*error, core::valueOf(files))
                               + "; nothing was written",
                           ConditionFailed);
    }
    const auto &edits = std::get<std::vector<PartEdit>>(plan);
    if (edits.empty())
        streams.out << "no part differs from what the platform holds\n";
    if (values.count("dry-run") > 0) {
        showEdits(edits, streams);
        return Succeeded;
    }
    return writeEdits(session.store(), edits, streams);
}

} // namespace boragerack::cli
