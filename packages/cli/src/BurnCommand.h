#pragma once

#include "boragerack/cli/Command.h"

namespace boragerack::cli {

/// Reports the error-budget burn rates of organisations and models.
class BurnCommand final : public Command
{
public:
    std::string_view name() const override { return "burn"; }
    std::string_view summary() const override { return "report burn rates of the objectives"; }
    int run(const std::vector<std::string> &arguments, const Streams &streams) override;
};

} // namespace boragerack::cli
