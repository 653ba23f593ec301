#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "boragerack/core/Identifier.h"
#include "boragerack/decisions/Artifact.h"
#include "boragerack/decisions/OperationId.h"

namespace boragerack::decisions {

/// A decided replica. The order distinguishes successive decisions for the same target.
struct ReplicaDecision
{
    core::TargetId target;
    OperationId order;

    friend auto operator<=>(const ReplicaDecision &, const ReplicaDecision &) = default;
};

/// Value of the platform object `models/<model>`.
struct ModelRecord
{
    Artifact artifact;
    std::vector<ReplicaDecision> replicas;
    /// Identifier of the write that produced this value.
    OperationId writer;

    friend auto operator<=>(const ModelRecord &, const ModelRecord &) = default;
};

/// Phase of a reservation as recorded on the platform. Nodes route requests only to replicas in
/// phase Ready.
enum class ReservationPhase { Recorded, Ready, Draining, Unloading };

/// Memory reserved for one load order.
struct MemoryReservation
{
    OperationId order;
    Artifact artifact;
    std::uint64_t memoryMiB = 0;
    ReservationPhase phase = ReservationPhase::Recorded;

    friend auto operator<=>(const MemoryReservation &, const MemoryReservation &) = default;
};

/// Value of the platform object `targets/<target>`.
struct TargetRecord
{
    core::TargetId target;
    std::uint64_t memoryMiB = 0;
    std::vector<MemoryReservation> reservations;
    /// Identifier of the write that produced this value.
    OperationId writer;

    friend auto operator<=>(const TargetRecord &, const TargetRecord &) = default;
};

/// Sum of the memory of all reservations, in MiB.
std::uint64_t reservedMiB(const TargetRecord &record);

/// A platform object with its version; version 0 means that it does not exist.
template<class T>
struct Versioned
{
    std::uint64_t version = 0;
    T record;

    friend auto operator<=>(const Versioned &, const Versioned &) = default;
};

} // namespace boragerack::decisions
