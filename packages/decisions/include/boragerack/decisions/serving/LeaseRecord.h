#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

/// The platform object that identifies the coordinator.
struct LeaseRecord
{
    core::InstanceId holder;
    std::string peerAddress;
    /// Distinguishes the processes that have held the lease on one instance.
    std::uint64_t incarnation = 0;
    /// Increases with each renewal, because writing unchanged content would not change the version.
    std::uint64_t renewal = 0;
    /// The holder has stopped; it sent its last order before it wrote this record.
    bool isReleased = false;
    /// Time from the write until the holder may send orders, because orders of its predecessor may
    /// be recent. A process that restarts on the holder's instance waits for the same time again.
    std::chrono::milliseconds ordersAfter = {};
    /// The lease is valid for this long after the last confirmed renewal was sent.
    std::chrono::milliseconds validity = {};
    /// Largest number of nodes known to the holder. A starting process divides limits by it until a
    /// coordinator reports a larger number.
    std::uint32_t nodes = 0;
    /// Era of the store as known to the holder at the write. A record that is read in another era
    /// was written before a restore of the store, and other nodes may have held the lease since.
    std::uint64_t era = 0;

    friend auto operator<=>(const LeaseRecord &, const LeaseRecord &) = default;
};

/// The record as read by some node. The version is the number of a core::StoreVersion and increases
/// with each write, so the observation with the larger version is newer.
struct LeaseObservation
{
    LeaseRecord record;
    std::uint64_t version = 0;

    friend auto operator<=>(const LeaseObservation &, const LeaseObservation &) = default;
};

} // namespace boragerack::decisions
