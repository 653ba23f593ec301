#pragma once

#include "boragerack/cli/Command.h"

namespace boragerack::cli {

/// Open-loop load test: sends requests at scheduled times and reports the latencies and errors seen
/// by callers.
class LoadCommand final : public Command
{
public:
    std::string_view name() const override { return "load"; }
    std::string_view summary() const override
    {
        return "send requests at planned times and measure the answers";
    }
    int run(const std::vector<std::string> &arguments, const Streams &streams) override;
};

} // namespace boragerack::cli
