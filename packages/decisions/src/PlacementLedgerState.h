#pragma once

#include "boragerack/decisions/PlacementLedger.h"

namespace boragerack::decisions {

struct PlacementLedger::TrackedReplica
{
    OperationId order;
    std::uint64_t memoryMiB = 0;
    ReplicaLifecycle lifecycle;
    core::TimePoint since = {};
    std::uint64_t drains = 0; ///< Number of times the replica has started to drain.
    bool isDecisionAttempted = false;
    /// Value of TargetEntry::epoch when the decision was written.
    std::uint64_t targetEpoch = 0;
    /// The write that makes another planner's pending reservation fail its version condition.
    std::optional<OperationId> revocation = std::nullopt;
    /// The last unload order. Only a report made after its arrival can prove that the weights are
    /// absent.
    std::optional<OperationId> unloadOrder = std::nullopt;
    core::TimePoint unloadSentAt = {};
    /// Time of the first of the consecutive reports that omit the confirmed order.
    std::optional<core::TimePoint> missingSince = std::nullopt;
};

struct PlacementLedger::ModelEntry
{
    Versioned<ModelRecord> object;
    std::optional<WriteModel> pending;
    bool isUncertain = false; ///< The outcome of the pending write is unknown.
    std::set<core::TargetId> targets;
};

struct PlacementLedger::TargetEntry
{
    struct QueuedOrder
    {
        OrderKind kind = OrderKind::Load;
        Artifact artifact;
        OperationId order;
    };

    Versioned<TargetRecord> object;
    std::optional<WriteTarget> pending;
    bool isUncertain = false;
    bool isListed = false;
    bool isRemoved = false;
    bool isLeaving = false;
    bool isEvacuated = false;
    bool checksFencing = false;
    std::uint64_t listedMiB = 0;
    /// Number of changes to the record that were not written by this process.
    std::uint64_t epoch = 0;
    /// Version up to which the phases written by other processes have been applied.
    std::uint64_t appliedVersion = 0;
    std::set<Artifact> artifacts;
    /// Orders are sent one at a time, because an engine that checks fencing numbers refuses an
    /// order that was overtaken by a later one.
    std::deque<QueuedOrder> queuedOrders;
    std::optional<QueuedOrder> outstanding;
};

/// The reservation of the order; null if the record has none.
const MemoryReservation *findReservation(const TargetRecord &record, const OperationId &order);

} // namespace boragerack::decisions
