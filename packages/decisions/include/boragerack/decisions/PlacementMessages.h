#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "boragerack/decisions/EngineReport.h"
#include "boragerack/decisions/PlacementRecords.h"
#include "boragerack/decisions/ReplicaChart.h"

namespace boragerack::decisions {

// Requests to the ledger.

/// Loads the artifact on the target: writes the decision and the reservation, then sends the order.
struct PlaceReplica
{
    Artifact artifact;
    core::TargetId target;
    std::uint64_t memoryMiB = 0;

    friend auto operator<=>(const PlaceReplica &, const PlaceReplica &) = default;
};

/// Starts draining a ready replica; it is unloaded after ReplicaDrained.
struct DrainReplica
{
    Artifact artifact;
    core::TargetId target;

    friend auto operator<=>(const DrainReplica &, const DrainReplica &) = default;
};

/// Puts a draining replica back into use.
struct CancelDrain
{
    Artifact artifact;
    core::TargetId target;

    friend auto operator<=>(const CancelDrain &, const CancelDrain &) = default;
};

/// The drain is complete: no node sends new requests to the replica and none is in flight. Ignored
/// if it belongs to an earlier, cancelled drain.
struct ReplicaDrained
{
    Artifact artifact;
    core::TargetId target;
    std::uint64_t drain = 0; ///< Value of ReplicaStateChanged::drain.

    friend auto operator<=>(const ReplicaDrained &, const ReplicaDrained &) = default;
};

// Events from the platform, the engines and the instance list.

/// All records under `models/` and `targets/`, read as lists. Objects that it does not contain do
/// not exist.
struct PlatformSnapshot
{
    std::uint64_t revision = 0;
    std::vector<Versioned<ModelRecord>> models;
    std::vector<Versioned<TargetRecord>> targets;

    friend auto operator<=>(const PlatformSnapshot &, const PlatformSnapshot &) = default;
};

/// Result of a read or a watch event for one model record.
struct ModelRead
{
    Versioned<ModelRecord> object;

    friend auto operator<=>(const ModelRead &, const ModelRead &) = default;
};

/// Result of a read or a watch event for one target record.
struct TargetRead
{
    Versioned<TargetRecord> object;

    friend auto operator<=>(const TargetRead &, const TargetRead &) = default;
};

enum class WriteOutcome {
    Applied,
    Conflict, ///< The condition was not met; the answer contains the current object.
    Unknown, ///< Time-out, unavailable platform or lost connection; the write may have been
             ///< applied.
};

/// Answer to a write of this ledger. After Conflict, `model` or `target` contains the current
/// object, with version 0 if it does not exist.
struct WriteAnswered
{
    OperationId write;
    WriteOutcome outcome = WriteOutcome::Unknown;
    /// Version of the object after Applied.
    std::uint64_t version = 0;
    std::optional<Versioned<ModelRecord>> model = std::nullopt;
    std::optional<Versioned<TargetRecord>> target = std::nullopt;

    friend auto operator<=>(const WriteAnswered &, const WriteAnswered &) = default;
};

enum class OrderOutcome {
    Accepted,
    StaleFence, ///< Refused: the engine has received a higher fencing number.
    DoesNotFit, ///< Refused: not enough free memory.
    NotSent, ///< No byte of the order can have been sent.
    Unknown, ///< The order may have arrived or may still arrive.
};

/// Answer to an order of this ledger.
struct OrderAnswered
{
    OperationId order;
    OrderOutcome outcome = OrderOutcome::Unknown;

    friend auto operator<=>(const OrderAnswered &, const OrderAnswered &) = default;
};

/// The engine of the target has sent a report.
struct EngineReported
{
    core::TargetId target;
    EngineReport report;

    friend auto operator<=>(const EngineReported &, const EngineReported &) = default;
};

/// The instance list contains the target.
struct TargetListed
{
    core::TargetId target;
    std::uint64_t memoryMiB = 0;
    bool checksFencing = false;
    bool isLeaving = false;
    core::DataCentreId dataCentre = {};

    friend auto operator<=>(const TargetListed &, const TargetListed &) = default;
};

/// Whether the data centre of the target is evacuated. Load orders that have not been sent to an
/// evacuated target are withdrawn; orders that were sent are completed.
struct TargetEvacuated
{
    core::TargetId target;
    bool isEvacuated = false;

    friend auto operator<=>(const TargetEvacuated &, const TargetEvacuated &) = default;
};

/// The target's instance was permanently removed.
struct TargetRemoved
{
    core::TargetId target;

    friend auto operator<=>(const TargetRemoved &, const TargetRemoved &) = default;
};

/// An instance that may have issued orders was permanently removed: it was in the instance list and
/// then missing from two reads 30 s apart.
struct InstanceRemoved
{
    core::InstanceId instance;

    friend auto operator<=>(const InstanceRemoved &, const InstanceRemoved &) = default;
};

/// Whether this process is the planner of its region.
struct RoleChanged
{
    bool isPlanner = false;

    friend auto operator<=>(const RoleChanged &, const RoleChanged &) = default;
};

/// Triggers time-dependent work; sent about once a second.
struct PlacementTick
{
    friend auto operator<=>(const PlacementTick &, const PlacementTick &) = default;
};

using LedgerEvent =
    std::variant<PlaceReplica, DrainReplica, CancelDrain, ReplicaDrained, PlatformSnapshot,
                 ModelRead, TargetRead, WriteAnswered, OrderAnswered, EngineReported, TargetListed,
                 TargetEvacuated, TargetRemoved, InstanceRemoved, RoleChanged, PlacementTick>;

// Actions that the caller of the ledger performs.

/// Conditional update of `models/<model>`, identified by record.writer. `ifVersion` 0 means that
/// the object must not exist.
struct WriteModel
{
    std::uint64_t ifVersion = 0;
    ModelRecord record;

    friend auto operator<=>(const WriteModel &, const WriteModel &) = default;
};

/// Conditional update of `targets/<target>`, identified by record.writer. `ifVersion` 0 means that
/// the object must not exist.
struct WriteTarget
{
    std::uint64_t ifVersion = 0;
    TargetRecord record;

    friend auto operator<=>(const WriteTarget &, const WriteTarget &) = default;
};

enum class OrderKind { Load, Unload };

/// Order to an engine. The transport sends it once and does not retry it.
struct SendOrder
{
    OrderKind kind = OrderKind::Load;
    OperationId order;
    core::TargetId target;
    Artifact artifact;
    std::uint64_t memoryMiB = 0;
    std::uint64_t fence = 0; ///< Fencing number: the version of the target's record.

    friend auto operator<=>(const SendOrder &, const SendOrder &) = default;
};

/// A replica has changed its state.
struct ReplicaStateChanged
{
    Artifact artifact;
    core::TargetId target;
    ReplicaState state = ReplicaState::Absent;
    std::uint64_t drain = 0; ///< Number of drains of this replica so far.

    friend auto operator<=>(const ReplicaStateChanged &, const ReplicaStateChanged &) = default;
};

using LedgerAction = std::variant<WriteModel, WriteTarget, SendOrder, ReplicaStateChanged>;

} // namespace boragerack::decisions
