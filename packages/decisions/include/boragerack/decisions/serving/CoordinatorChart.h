#pragma once

#include "boragerack/charts/ChartBinding.h"

namespace boragerack::decisions {

/// States, events and actions of charts/coordinator.json.
enum class CoordinatorState {
    Following,
    Reading,
    Acquiring,
    Holding,
    Renewing,
    Verifying,
    Unverified,
    Releasing,
    Stopped,
};

enum class CoordinatorChartEvent {
    Poll,
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

enum class CoordinatorChartAction {
    ReadLease,
    WriteLease,
    WriteRelease,
    StartTerm,
    ExtendTerm,
    EndTerm,
};

using CoordinatorBinding =
    charts::ChartBinding<CoordinatorState, CoordinatorChartEvent, CoordinatorChartAction>;

core::Result<CoordinatorBinding> bindCoordinatorChart(const charts::StateChart &chart);

} // namespace boragerack::decisions
