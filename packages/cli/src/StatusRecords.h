#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "FleetStatus.h"

namespace boragerack::cli {

/// Sums over a target record.
struct ReservedMemory
{
    std::uint64_t memoryMiB = 0;
    std::uint64_t reservedMiB = 0;
    std::uint64_t reservations = 0;

    friend auto operator<=>(const ReservedMemory &, const ReservedMemory &) = default;
};

/// The fields of `nodes/<instance>` and `targets/<target>` that the status shows. Other fields are
/// skipped, so that this tool works on records of a newer node. Nothing if the text is not such a
/// record.
std::optional<MemberStatus> parseMemberStatus(std::string_view text);
std::optional<ReservedMemory> parseReservedMemory(std::string_view text);

} // namespace boragerack::cli
