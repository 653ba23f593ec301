#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

/// What is known about callers and targets besides the configuration. A check that needs a missing
/// figure is skipped.
struct ReviewContext
{
    /// Tokens of the largest request that callers send.
    std::optional<std::int64_t> largestRequestTokens;
    /// Memory of the largest target. An engine of a serving configuration has its own figure.
    std::optional<std::int64_t> largestTargetMiB;
    /// Version of the configuration in effect, if its contents differ.
    std::optional<std::uint64_t> versionInEffect;
    std::optional<std::map<core::ServiceId, std::size_t>> targetsByService;

    friend bool operator==(const ReviewContext &, const ReviewContext &) = default;
};

} // namespace boragerack::decisions
