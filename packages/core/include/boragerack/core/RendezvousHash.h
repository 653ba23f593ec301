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

/// A time within `span` that depends on the instance, so that all of them do not act at once.
Duration staggerOf(const InstanceId &instance, Duration span, std::uint64_t seed = 0);

/// The `count` instances with the highest rendezvous weight for the key, best first. A change of
/// membership moves only the keys of the instances that came or went.
std::vector<InstanceId> rendezvousOwners(std::string_view key, std::span<const InstanceId> members,
                                         std::size_t count);

} // namespace boragerack::core
