#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

/// The platform object that names the coordinator.
struct LeaseRecord
{
    core::InstanceId holder;
    std::string peerAddress;
    /// Distinguishes the processes that have held the lease on one instance.
    std::uint64_t incarnation = 0;
    /// Grows with each renewal, since an unchanged write would not change the version.
    std::uint64_t renewal = 0;
    /// The holder has stopped; its last order was given before the record was written.
    bool isReleased = false;
    /// Time after the write until the holder may give orders, because its predecessor may have
    /// given some. A process that restarts on the holder's instance waits as long again.
    std::chrono::milliseconds ordersAfter = {};
    /// The holder acts for this long after it sent a renewal that was confirmed.
    std::chrono::milliseconds validity = {};
    /// Most nodes that the holder has known. A process that starts divides limits by it until a
    /// coordinator tells it more.
    std::uint32_t nodes = 0;

    friend auto operator<=>(const LeaseRecord &, const LeaseRecord &) = default;
};

/// The record as some node read it. Versions of the platform grow with each write, so of two
/// sightings the one with the larger version is newer.
struct LeaseObservation
{
    LeaseRecord record;
    std::uint64_t version = 0;

    friend auto operator<=>(const LeaseObservation &, const LeaseObservation &) = default;
};

} // namespace boragerack::decisions
