#pragma once

#include "boragerack/cli/Command.h"

namespace boragerack::cli {

/// Writes changed list parts to the platform after validating all parts together.
class ApplyCommand final : public Command
{
public:
    std::string_view name() const override { return "apply"; }
    std::string_view summary() const override { return "write changed list parts"; }
    int run(const std::vector<std::string> &arguments, const Streams &streams) override;
};

} // namespace boragerack::cli
