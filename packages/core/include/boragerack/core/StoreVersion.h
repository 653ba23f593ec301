#pragma once

#include <compare>
#include <cstdint>

namespace boragerack::core {

/// Position in the history of a store. A store that is restored from an older copy gives out
/// revisions again, so they are ordered only within the era that each restore ends.
struct StoreVersion
{
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    friend auto operator<=>(const StoreVersion &, const StoreVersion &) = default;
};

/// Bits of a version number that hold the revision. Numbers of the first 4,096 eras are below
/// 2^53, so that receivers that use floating-point numbers read them exactly.
inline constexpr unsigned kRevisionBits = 41;

/// The version as one number, which is ordered like the version. Versions are passed on in this
/// form, as fencing tokens and between nodes.
constexpr std::uint64_t toVersionNumber(const StoreVersion &version)
{
    return (version.era << kRevisionBits) | version.revision;
}

constexpr StoreVersion toStoreVersion(std::uint64_t number)
{
    return {number >> kRevisionBits, number & ((std::uint64_t(1) << kRevisionBits) - 1)};
}

} // namespace boragerack::core
