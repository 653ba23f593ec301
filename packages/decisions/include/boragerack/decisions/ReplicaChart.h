#pragma once

#include "boragerack/charts/ChartBinding.h"

namespace boragerack::decisions {

/// States of charts/replica.json. Deciding and Reserving are the two writes before a load;
/// Releasing and Withdrawing undo them in the opposite order.
enum class ReplicaState {
    Absent,
    Deciding,
    Reserving,
    Loading,
    Ready,
    Draining,
    Unloading,
    Releasing,
    Revoking, ///< Another planner's decision without a reservation is being invalidated.
    Withdrawing,
};

enum class ReplicaChartEvent {
    Place,
    FoundDecision,
    FoundRecorded,
    FoundReady,
    FoundDraining,
    FoundUnloading,
    DecisionWritten,
    DecisionLost,
    ReservationWritten,
    ReservationRefused,
    WeightsReady,
    Drain,
    DrainCancelled,
    Drained,
    ForceUnload,
    OrderConfirmed,
    UnloadWritten,
    ReleasePermitted,
    ReservationReleased,
    TargetWritten,
    ReservationFound,
    DecisionWithdrawn,
    TargetRemoved,
};

enum class ReplicaChartAction {
    UpdateModel,
    UpdateTarget,
    QueueLoad,
    SendUnload,
    NotifyStateChange
};

inline constexpr charts::EnumNames<ReplicaState, 10> kReplicaStates = {
    {"absent", "deciding", "reserving", "loading", "ready", "draining", "unloading", "releasing",
     "revoking", "withdrawing"}};
inline constexpr charts::EnumNames<ReplicaChartEvent, 23> kReplicaChartEvents = {
    {"place",
     "foundDecision",
     "foundRecorded",
     "foundReady",
     "foundDraining",
     "foundUnloading",
     "decisionWritten",
     "decisionLost",
     "reservationWritten",
     "reservationRefused",
     "weightsReady",
     "drain",
     "drainCancelled",
     "drained",
     "forceUnload",
     "orderConfirmed",
     "unloadWritten",
     "releasePermitted",
     "reservationReleased",
     "targetWritten",
     "reservationFound",
     "decisionWithdrawn",
     "targetRemoved"}};
inline constexpr charts::EnumNames<ReplicaChartAction, 5> kReplicaChartActions = {
    {"updateModel", "updateTarget", "queueLoad", "sendUnload", "notifyStateChange"}};

using ReplicaBinding = charts::ChartBinding<ReplicaState, ReplicaChartEvent, ReplicaChartAction>;

} // namespace boragerack::decisions
