#pragma once

#include "boragerack/cli/Command.h"

namespace boragerack::cli {

/// Reviews a configuration before it is sent: faults, and differences from another version.
/// Returns a ReviewExitCode, or PlatformUnreachable.
class ReviewCommand final : public Command
{
public:
    std::string_view name() const override { return "review"; }
    std::string_view summary() const override
    {
        return "review a configuration or the lists before they are sent";
    }
    int run(const std::vector<std::string> &arguments, const Streams &streams) override;
};

} // namespace boragerack::cli
