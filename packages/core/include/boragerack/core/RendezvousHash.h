#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Identifier.h"

namespace boragerack::core {

/// 64-bit hash that is the same on every node and in every version.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/// Offset in [0, span), in steps of span / 64, derived from the instance's identifier, so that
/// instances do not all act at the same time.
Duration staggerOf(const InstanceId &instance, Duration span, std::uint64_t seed = 0);

/// The `count` instances with the highest rendezvous weight for the key, highest first.
/// Adding or removing an instance reassigns only the keys that this instance owns.
std::vector<InstanceId> rendezvousOwners(std::string_view key, std::span<const InstanceId> members,
                                         std::size_t count);

} // namespace boragerack::core
