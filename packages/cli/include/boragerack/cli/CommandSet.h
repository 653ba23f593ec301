#pragma once

#include <memory>
#include <string>
#include <vector>

#include "boragerack/cli/Command.h"

namespace boragerack::cli {

/// All subcommands in the order of the help text.
std::vector<std::unique_ptr<Command>> makeCommands();

/// Runs the subcommand named by the first argument. Returns an ExitCode.
int runCommandLine(const std::vector<std::string> &arguments, const Streams &streams);

} // namespace boragerack::cli
