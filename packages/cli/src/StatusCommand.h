#pragma once

#include "boragerack/cli/Command.h"

namespace boragerack::cli {

/// Prints the configuration, members and targets as stored on the platform.
class StatusCommand final : public Command
{
public:
    std::string_view name() const override { return "status"; }
    std::string_view summary() const override
    {
        return "show accepted and rejected lists, members and targets";
    }
    int run(const std::vector<std::string> &arguments, const Streams &streams) override;
};

} // namespace boragerack::cli
