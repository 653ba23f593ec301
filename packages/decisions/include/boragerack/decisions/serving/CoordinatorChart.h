#pragma once

#include "boragerack/charts/ChartBinding.h"

namespace boragerack::decisions {

/// States, events and actions of charts/coordinator.json.
enum class CoordinatorState {
    Following,
    Looking,
    Claiming,
    Holding,
    Renewing,
    Verifying,
    Doubting,
    Releasing,
    Stopped,
};

enum class CoordinatorTrigger {
    Look,
    FoundHeld,
    FoundFree,
    FoundOwn,
    FoundOther,
    Applied,
    Conflict,
    Unanswered,
    Renew,
    Stop,
};

enum class CoordinatorStep {
    ReadLease,
    WriteLease,
    WriteRelease,
    StartTerm,
    ExtendTerm,
    EndTerm,
};

using CoordinatorBinding =
    charts::ChartBinding<CoordinatorState, CoordinatorTrigger, CoordinatorStep>;

core::Result<CoordinatorBinding> bindCoordinatorChart(const charts::StateChart &chart);

} // namespace boragerack::decisions
