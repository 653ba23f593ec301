#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace boragerack::cli {

/// Standard streams of the process; replaced in tests.
struct Streams
{
    std::istream &in;
    std::ostream &out;
    std::ostream &err;
};

/// One subcommand. A subcommand that does network I/O creates the FiberRuntime of the thread in
/// run() and destroys it before run() returns.
class Command
{
public:
    Command() = default;
    Command(const Command &) = delete;
    Command &operator=(const Command &) = delete;
    virtual ~Command() = default;

    virtual std::string_view name() const = 0;
    virtual std::string_view summary() const = 0;

    /// Runs with the arguments that follow the subcommand's name. Returns an ExitCode.
    virtual int run(const std::vector<std::string> &arguments, const Streams &streams) = 0;
};

} // namespace boragerack::cli
