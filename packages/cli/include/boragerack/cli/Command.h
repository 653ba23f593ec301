#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace boragerack::cli {

/// Standard streams of the process; tests pass their own.
struct Streams
{
    std::istream &in;
    std::ostream &out;
    std::ostream &err;
};

/// One subcommand. A subcommand that talks to other processes creates the FiberRuntime of the
/// thread for the time of its run.
class Command
{
public:
    Command() = default;
    Command(const Command &) = delete;
    Command &operator=(const Command &) = delete;
    virtual ~Command() = default;

    virtual std::string_view name() const = 0;
    virtual std::string_view summary() const = 0;

    /// Takes the arguments after the subcommand's name and returns an ExitCode.
    virtual int run(const std::vector<std::string> &arguments, const Streams &streams) = 0;
};

} // namespace boragerack::cli
