#pragma once

#include "boragerack/cli/Command.h"

namespace boragerack::cli {

/// Validates list files and settings files without changing anything.
class CheckCommand final : public Command
{
public:
    std::string_view name() const override { return "check"; }
    std::string_view summary() const override { return "check list files and settings files"; }
    int run(const std::vector<std::string> &arguments, const Streams &streams) override;
};

} // namespace boragerack::cli
