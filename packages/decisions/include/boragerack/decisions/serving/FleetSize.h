#pragma once

#include <cstddef>
#include <cstdint>

namespace boragerack::decisions {

/// Largest fleet whose nodes report and poll the lease at the full rate and receive all data from
/// the coordinator. Deployments have 6 or 7 nodes, or 58 and more; with the latter, a coordinator
/// on 0.09 cores cannot keep up at these rates.
constexpr std::uint32_t kSmallFleetNodes = 16;

/// Number of nodes assumed until a coordinator or its lease has reported one. It is large because
/// all nodes may have restarted at the same time.
constexpr std::uint32_t kAssumedNodes = 128;

constexpr bool isLargeFleet(std::size_t nodes)
{
    return nodes > kSmallFleetNodes;
}

} // namespace boragerack::decisions
