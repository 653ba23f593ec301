#pragma once

#include <cstddef>
#include <cstdint>

namespace boragerack::decisions {

/// Largest fleet whose nodes report and poll the lease at the full rate and receive all data from
/// the coordinator. Deployments have 6 or 7 nodes, or 58 and more; with the latter, a coordinator
/// on 0.09 cores cannot keep up at these rates.
constexpr std::uint32_t kSmallFleetNodes = 16;

constexpr bool isLargeFleet(std::size_t nodes)
{
    return nodes > kSmallFleetNodes;
}

} // namespace boragerack::decisions
