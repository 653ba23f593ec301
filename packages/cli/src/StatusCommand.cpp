#include "StatusCommand.h"

#include <ostream>

#include "FleetStatus.h"
#include "PlatformSession.h"

namespace boragerack::cli {

namespace options = boost::program_options;

int StatusCommand::run(const std::vector<std::string> &arguments, const Streams &streams)
{
    options::options_description description("Options");
    addPlatformOptions(description);
    description.add_options()("help", "print this text");
    const auto parsed = parseOptions(name(), description, arguments, streams);
    if (const ExitCode *code = std::get_if<ExitCode>(&parsed))
        return *code;
    const auto platformOptions = readPlatformOptions(std::get<options::variables_map>(parsed));
    if (!core::isOk(platformOptions))
        return reportError(streams, name(), core::errorOf(platformOptions).message, UsageError);

    PlatformSession session(core::valueOf(platformOptions).address,
                            core::valueOf(platformOptions).timeout);
    const auto status = readFleetStatus(session.store());
    if (!core::isOk(status))
        return reportError(streams, name(), core::errorOf(status).message, PlatformUnreachable);
    streams.out << formatStatus(core::valueOf(status));
    if (!isHealthy(core::valueOf(status))) {
        return reportError(streams, name(),
                           "lists are missing or rejected, or a record is unreadable",
                           ConditionFailed);
    }
    return Succeeded;
}

} // namespace boragerack::cli
