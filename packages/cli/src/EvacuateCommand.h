#pragma once

#include "boragerack/cli/Command.h"

namespace boragerack::cli {

/// Requests or withdraws the evacuation of a data centre.
class EvacuateCommand final : public Command
{
public:
    std::string_view name() const override { return "evacuate"; }
    std::string_view summary() const override
    {
        return "send no more work to the targets of a data centre, or end that";
    }
    int run(const std::vector<std::string> &arguments, const Streams &streams) override;
};

} // namespace boragerack::cli
