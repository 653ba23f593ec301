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

/// Starts the writes and the order that load the artifact on the target.
struct PlaceReplica
{
    Artifact artifact;
    core::TargetId target;
    std::uint64_t memoryMiB = 0;

    friend auto operator<=>(const PlaceReplica &, const PlaceReplica &) = default;
};

/// Takes a ready replica out of use; it is unloaded after ReplicaDrained.
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

/// No node sends new requests to the replica and none is in flight. An answer to an earlier drain
/// that was cancelled is ignored.
struct ReplicaDrained
{
    Artifact artifact;
    core::TargetId target;
    std::uint64_t drain = 0; ///< From ReplicaStateChanged.

    friend auto operator<=>(const ReplicaDrained &, const ReplicaDrained &) = default;
};

// What the platform, the engines and the instance list say.

/// All records under `models/` and `targets/`, read as lists. Objects that are missing from it
/// do not exist.
struct PlatformSnapshot
{
    std::uint64_t revision = 0;
    std::vector<Versioned<ModelRecord>> models;
    std::vector<Versioned<TargetRecord>> targets;

    friend auto operator<=>(const PlatformSnapshot &, const PlatformSnapshot &) = default;
};

/// A read or a watch event of one model record.
struct ModelRead
{
    Versioned<ModelRecord> object;

    friend auto operator<=>(const ModelRead &, const ModelRead &) = default;
};

/// A read or a watch event of one target record.
struct TargetRead
{
    Versioned<TargetRecord> object;

    friend auto operator<=>(const TargetRead &, const TargetRead &) = default;
};

enum class WriteOutcome {
    Applied,
    Conflict, ///< The condition did not hold; the answer carries the current object.
    Unknown, ///< No answer, an unavailable platform, or a broken connection.
};

/// Answer to a write of this ledger. After Conflict, `model` or `target` holds the current object
/// with version 0 if there is none.
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
    StaleFence,
    DoesNotFit,
    NotSent, ///< No byte of the order can have left this node.
    Unknown, ///< The order may have arrived or may still arrive.
};

struct OrderAnswered
{
    OperationId order;
    OrderOutcome outcome = OrderOutcome::Unknown;

    friend auto operator<=>(const OrderAnswered &, const OrderAnswered &) = default;
};

struct EngineReported
{
    core::TargetId target;
    EngineReport report;

    friend auto operator<=>(const EngineReported &, const EngineReported &) = default;
};

/// The instance list shows the target.
struct TargetListed
{
    core::TargetId target;
    std::uint64_t memoryMiB = 0;
    bool checksFencing = false;
    bool isLeaving = false;

    friend auto operator<=>(const TargetListed &, const TargetListed &) = default;
};

/// The target's instance is gone for good.
struct TargetRemoved
{
    core::TargetId target;

    friend auto operator<=>(const TargetRemoved &, const TargetRemoved &) = default;
};

/// An instance that may have issued orders is gone for good: it was in the instance list and was
/// then missing in two reads 30 s apart.
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

/// Time has passed; sent about once a second.
struct PlacementTick
{
    friend auto operator<=>(const PlacementTick &, const PlacementTick &) = default;
};

using LedgerEvent =
    std::variant<PlaceReplica, DrainReplica, CancelDrain, ReplicaDrained, PlatformSnapshot,
                 ModelRead, TargetRead, WriteAnswered, OrderAnswered, EngineReported, TargetListed,
                 TargetRemoved, InstanceRemoved, RoleChanged, PlacementTick>;

// What the ledger asks for.

/// Conditional update of `models/<model>`; its identity is record.writer. Version 0 stands for
/// create-if-absent.
struct WriteModel
{
    std::uint64_t ifVersion = 0;
    ModelRecord record;

    friend auto operator<=>(const WriteModel &, const WriteModel &) = default;
};

/// Conditional update of `targets/<target>`; its identity is record.writer.
struct WriteTarget
{
    std::uint64_t ifVersion = 0;
    TargetRecord record;

    friend auto operator<=>(const WriteTarget &, const WriteTarget &) = default;
};

enum class OrderKind { Load, Unload };

/// Order to an engine. It is sent once; the same identity is never sent again by the transport.
struct SendOrder
{
    OrderKind kind = OrderKind::Load;
    OperationId order;
    core::TargetId target;
    Artifact artifact;
    std::uint64_t memoryMiB = 0;
    std::uint64_t fence = 0;

    friend auto operator<=>(const SendOrder &, const SendOrder &) = default;
};

/// A replica has changed its state.
struct ReplicaStateChanged
{
    Artifact artifact;
    core::TargetId target;
    ReplicaState state = ReplicaState::Absent;
    std::uint64_t drain = 0; ///< Counts the drains of this replica.

    friend auto operator<=>(const ReplicaStateChanged &, const ReplicaStateChanged &) = default;
};

using LedgerAction = std::variant<WriteModel, WriteTarget, SendOrder, ReplicaStateChanged>;

} // namespace boragerack::decisions
