#pragma once

#include <cstddef>
#include <cstdint>

namespace boragerack::decisions {

/// Up to so many nodes report at full rate, look at the lease at full rate and get everything from
/// the coordinator. The users' deployments have 6 or 7 nodes, or 58 and more; a coordinator of the
/// latter, on 0.09 cores, falls behind at these rates.
constexpr std::uint32_t kSmallFleetNodes = 16;

constexpr bool isLargeFleet(std::size_t nodes)
{
    return nodes > kSmallFleetNodes;
}

} // namespace boragerack::decisions
