#pragma once

#include "boragerack/decisions/PlacementLedger.h"

namespace boragerack::decisions {

struct PlacementLedger::Track
{
    OperationId order;
    std::uint64_t memoryMiB = 0;
    ReplicaLifecycle life;
    core::TimePoint since = {};
    std::uint64_t drains = 0;
    bool isDecisionAttempted = false;
    /// Epoch of the target's record when the decision was written.
    std::uint64_t targetEpoch = 0;
    /// The write that invalidates another planner's pending reservation.
    std::optional<OperationId> revocation = std::nullopt;
    /// The unload order whose arrival proves that a report is recent enough.
    std::optional<OperationId> unload = std::nullopt;
    core::TimePoint unloadSentAt = {};
    /// Start of a run of reports without a confirmed order.
    std::optional<core::TimePoint> missingSince = std::nullopt;
};

struct PlacementLedger::ModelEntry
{
    Versioned<ModelRecord> object;
    std::optional<WriteModel> pending;
    bool isUncertain = false; ///< The answer to the pending write was lost.
    std::set<core::TargetId> tracks;
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
    bool hasLeft = false;
    bool isLeaving = false;
    bool checksFencing = false;
    std::uint64_t listedMiB = 0;
    /// Number of changes of the record that other processes made.
    std::uint64_t epoch = 0;
    /// Version up to which phases written by other processes have been followed.
    std::uint64_t followedVersion = 0;
    std::set<Artifact> tracks;
    /// Orders leave one at a time, because an engine that checks fencing numbers refuses an order
    /// that was overtaken by a later one.
    std::deque<QueuedOrder> outbox;
    std::optional<QueuedOrder> outstanding;
};

/// The intent of the order; null when the record has none.
const MemoryReservation *findIntent(const TargetRecord &record, const OperationId &order);

} // namespace boragerack::decisions
