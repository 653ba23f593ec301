#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <boost/program_options.hpp>

#include "boragerack/cli/Command.h"
#include "boragerack/cli/ExitCode.h"
#include "boragerack/core/Error.h"

namespace boragerack::cli {

/// The values of the options, or the exit code after help or a usage error was printed.
using ParsedOptions = std::variant<boost::program_options::variables_map, ExitCode>;

ParsedOptions parseOptions(std::string_view command,
                           const boost::program_options::options_description &description,
                           const std::vector<std::string> &arguments, const Streams &streams);

/// Prints one line "boragerack <command>: <message>" and gives the code back.
ExitCode reportError(const Streams &streams, std::string_view command, std::string_view message,
                     ExitCode code);

/// PlatformUnreachable for a platform without an answer, otherwise UsageError.
ExitCode exitCodeOf(const core::Error &error);

/// Values of an option that may be repeated; empty if it was not given.
std::vector<std::string> valuesOf(const boost::program_options::variables_map &values,
                                  const char *name);

} // namespace boragerack::cli
