#include "boragerack/cli/CommandSet.h"

#include <ostream>

#include "ApplyCommand.h"
#include "BurnCommand.h"
#include "CheckCommand.h"
#include "EvacuateCommand.h"
#include "KeyCommand.h"
#include "LoadCommand.h"
#include "ReviewCommand.h"
#include "StatusCommand.h"
#include "boragerack/cli/ExitCode.h"

namespace boragerack::cli {

namespace {

void printUsage(const std::vector<std::unique_ptr<Command>> &commands, std::ostream &stream)
{
    stream << "Usage: boragerack SUBCOMMAND [OPTIONS]\n\n";
    for (const auto &command : commands)
        stream << "  " << command->name() << "\t" << command->summary() << '\n';
    stream << "\nboragerack SUBCOMMAND --help lists the options.\n";
}

} // namespace

std::vector<std::unique_ptr<Command>> makeCommands()
{
    std::vector<std::unique_ptr<Command>> commands;
    commands.push_back(std::make_unique<CheckCommand>());
    commands.push_back(std::make_unique<ReviewCommand>());
    commands.push_back(std::make_unique<ApplyCommand>());
    commands.push_back(std::make_unique<EvacuateCommand>());
    commands.push_back(std::make_unique<StatusCommand>());
    commands.push_back(std::make_unique<KeyCommand>());
    commands.push_back(std::make_unique<LoadCommand>());
    commands.push_back(std::make_unique<BurnCommand>());
    return commands;
}

int runCommandLine(const std::vector<std::string> &arguments, const Streams &streams)
{
    const auto commands = makeCommands();
    if (!arguments.empty() && (arguments.front() == "--help" || arguments.front() == "help")) {
        printUsage(commands, streams.out);
        return Succeeded;
    }
    if (arguments.empty()) {
        printUsage(commands, streams.err);
        return UsageError;
    }
    for (const auto &command : commands) {
        if (command->name() == arguments.front())
            return command->run({arguments.begin() + 1, arguments.end()}, streams);
    }
    streams.err << "boragerack: no subcommand \"" << arguments.front()
                << "\"; boragerack --help lists them\n";
    return UsageError;
}

} // namespace boragerack::cli
