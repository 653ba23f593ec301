#pragma once

#include "boragerack/cli/Command.h"

namespace boragerack::cli {

/// Prints the SHA-256 digest of a key as used in the plans list. The key is read from standard
/// input because command-line arguments are visible to other processes.
class KeyCommand final : public Command
{
public:
    std::string_view name() const override { return "key"; }
    std::string_view summary() const override
    {
        return "print the digest of a key read from standard input";
    }
    int run(const std::vector<std::string> &arguments, const Streams &streams) override;
};

} // namespace boragerack::cli
