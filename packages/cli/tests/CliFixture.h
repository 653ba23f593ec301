#pragma once

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <unistd.h>

#include "boragerack/cli/CommandSet.h"

namespace boragerack::cli::test {

/// Runs subcommands on files in a temporary directory.
struct CliFixture
{
    std::filesystem::path directory =
        std::filesystem::temp_directory_path() / ("boragerack-cli-" + std::to_string(getpid()));
    std::ostringstream out;
    std::ostringstream err;

    CliFixture() { std::filesystem::create_directories(directory); }
    CliFixture(const CliFixture &) = delete;
    CliFixture &operator=(const CliFixture &) = delete;
    ~CliFixture() { std::filesystem::remove_all(directory); }

    std::string writeFile(const std::string &name, const std::string &text) const
    {
        const std::filesystem::path path = directory / name;
        std::ofstream(path) << text;
        return path.string();
    }

    int run(const std::vector<std::string> &arguments, const std::string &input = {})
    {
        out.str({});
        err.str({});
        std::istringstream in(input);
        return runCommandLine(arguments, {in, out, err});
    }
};

inline std::string plansText(const std::string &plan, const std::string &organisation = "yards")
{
    return R"({"organisations":[{"organisation":")" + organisation + R"(","plan":")" + plan
        + R"(","keys":[]}]})";
}

inline std::string entitlementsText(const std::string &plan, int burst = 60)
{
    return R"({"plans":[{"plan":")" + plan + R"(","tokensPerSecond":20,"burstTokens":)"
        + std::to_string(burst) + R"(}],"services":[]})";
}

} // namespace boragerack::cli::test
