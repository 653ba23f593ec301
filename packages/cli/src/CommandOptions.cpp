#include "CommandOptions.h"

#include <ostream>

namespace boragerack::cli {

namespace options = boost::program_options;

ParsedOptions parseOptions(std::string_view command,
                           const options::options_description &description,
                           const std::vector<std::string> &arguments, const Streams &streams,
                           const std::string &positional)
{
    options::positional_options_description positions;
    if (!positional.empty())
        positions.add(positional.c_str(), 1);
    try {
        options::variables_map values;
        options::store(options::command_line_parser(arguments)
                           .options(description)
                           .positional(positions)
                           .run(),
                       values);
        if (values.count("help") > 0) {
            streams.out << "Usage: boragerack " << command << " [OPTIONS]"
                        << (positional.empty() ? "" : " " + positional) << '\n'
                        << description;
            return Succeeded;
        }
        options::notify(values);
        return values;
    } catch (const options::error &error) {
        return reportError(streams, command, error.what(), UsageError);
    }
}

ExitCode reportError(const Streams &streams, std::string_view command, std::string_view message,
                     ExitCode code)
{
    streams.err << "boragerack " << command << ": " << message << '\n';
    return code;
}

ExitCode exitCodeOf(const core::Error &error)
{
    return error.code == core::ErrorCode::PlatformUnavailable ? PlatformUnreachable : UsageError;
}

std::vector<std::string> valuesOf(const options::variables_map &values, const char *name)
{
    return values.count(name) > 0 ? values[name].as<std::vector<std::string>>()
                                  : std::vector<std::string>();
}

} // namespace boragerack::cli
