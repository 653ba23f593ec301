#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

/// Identity of one platform write or one order: the process that issued it and a number that the
/// process never uses twice.
struct Stamp
{
    core::InstanceId instance;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const Stamp &, const Stamp &) = default;
};

/// Text form `<instance>/<incarnation>/<sequence>`, used as the order identifier towards engines.
std::string stampText(const Stamp &stamp);

/// Reverses stampText; nothing if the text is anything else.
std::optional<Stamp> parseStamp(std::string_view text);

} // namespace boragerack::decisions
