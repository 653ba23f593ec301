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

/// The option values, or the exit code if help or a usage error was printed.
using ParsedOptions = std::variant<boost::program_options::variables_map, ExitCode>;

/// An argument without a name is the value of the option `positional`; if that is empty, it is a
/// usage error.
ParsedOptions parseOptions(std::string_view command,
                           const boost::program_options::options_description &description,
                           const std::vector<std::string> &arguments, const Streams &streams,
                           const std::string &positional = {});

/// Prints one line "boragerack <command>: <message>" and returns `code`.
ExitCode reportError(const Streams &streams, std::string_view command, std::string_view message,
                     ExitCode code);

/// Returns PlatformUnreachable if the platform is unavailable, otherwise UsageError.
ExitCode exitCodeOf(const core::Error &error);

/// Returns the values of a repeatable option; empty if the option is absent.
std::vector<std::string> valuesOf(const boost::program_options::variables_map &values,
                                  const char *name);

} // namespace boragerack::cli
