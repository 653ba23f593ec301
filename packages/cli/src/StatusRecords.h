#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "FleetStatus.h"

namespace boragerack::cli {

/// Memory totals of a target record.
struct ReservedMemory
{
    std::uint64_t memoryMiB = 0;
    std::uint64_t reservedMiB = 0;
    std::uint64_t reservations = 0;

    friend auto operator<=>(const ReservedMemory &, const ReservedMemory &) = default;
};

/// Parse the displayed fields of `nodes/<instance>` and `targets/<target>`. Other fields are
/// ignored for compatibility with records written by newer nodes. Return nothing for an invalid
/// record.
std::optional<MemberStatus> parseMemberStatus(std::string_view text);
std::optional<ReservedMemory> parseReservedMemory(std::string_view text);

/// Text of the list part in an object `config/parts/<digest>`.
std::optional<std::string> parsePartText(std::string_view text);

} // namespace boragerack::cli
