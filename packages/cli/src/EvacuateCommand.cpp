#include "EvacuateCommand.h"

#include "EvacuationWriter.h"
#include "PlatformSession.h"

namespace boragerack::cli {

namespace options = boost::program_options;

int EvacuateCommand::run(const std::vector<std::string> &arguments, const Streams &streams)
{
    options::options_description description("Options");
    addPlatformOptions(description);
    description.add_options()("data-centre",
                              options::value<std::string>()->required()->value_name("NAME"),
                              "the data centre; may also be given without the name of the option")(
        "end", "withdraw the request, so that the targets get work again")("help",
                                                                           "print this text");
    const auto parsed = parseOptions(name(), description, arguments, streams, "data-centre");
    if (const ExitCode *code = std::get_if<ExitCode>(&parsed))
        return *code;
    const auto &values = std::get<options::variables_map>(parsed);
    const auto platformOptions = readPlatformOptions(values);
    if (!core::isOk(platformOptions))
        return reportError(streams, name(), core::errorOf(platformOptions).message, UsageError);
    PlatformSession session(core::valueOf(platformOptions).address,
                            core::valueOf(platformOptions).timeout);
    return writeEvacuation(session.store(),
                           {values["data-centre"].as<std::string>(), values.count("end") > 0},
                           streams);
}

} // namespace boragerack::cli
