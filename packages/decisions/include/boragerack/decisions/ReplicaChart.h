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
    Revoking, ///< Another planner's decision without an intent is being invalidated.
    Withdrawing,
};

enum class ReplicaEvent {
    Place,
    FoundDecision,
    FoundRecorded,
    FoundReady,
    FoundDraining,
    FoundUnloading,
    DecisionWritten,
    DecisionLost,
    IntentWritten,
    IntentRefused,
    WeightsReady,
    Drain,
    DrainCancelled,
    Drained,
    Supersede,
    OrderConfirmed,
    UnloadWritten,
    ReleasePermitted,
    IntentReleased,
    TargetWritten,
    IntentFound,
    DecisionWithdrawn,
    TargetLeft,
};

enum class ReplicaEffect { UpdateModel, UpdateTarget, QueueLoad, SendUnload, Announce };

inline constexpr charts::EnumNames<ReplicaState, 10> kReplicaStates = {
    {"absent", "deciding", "reserving", "loading", "ready", "draining", "unloading", "releasing",
     "revoking", "withdrawing"}};
inline constexpr charts::EnumNames<ReplicaEvent, 23> kReplicaEvents = {
    {"place",          "foundDecision",     "foundRecorded",   "foundReady",
     "foundDraining",  "foundUnloading",    "decisionWritten", "decisionLost",
     "intentWritten",  "intentRefused",     "weightsReady",    "drain",
     "drainCancelled", "drained",           "supersede",       "orderConfirmed",
     "unloadWritten",  "releasePermitted",  "intentReleased",  "targetWritten",
     "intentFound",    "decisionWithdrawn", "targetLeft"}};
inline constexpr charts::EnumNames<ReplicaEffect, 5> kReplicaEffects = {
    {"updateModel", "updateTarget", "queueLoad", "sendUnload", "announce"}};

using ReplicaBinding = charts::ChartBinding<ReplicaState, ReplicaEvent, ReplicaEffect>;

} // namespace boragerack::decisions
