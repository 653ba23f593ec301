#pragma once

#include "boragerack/charts/ChartBinding.h"

namespace boragerack::decisions {

/// States, events and actions of charts/claim.json.
enum class ClaimState {
    Idle,
    Creating,
    TakingOver,
    Verifying,
    Held,
    Recording,
    Releasing,
    Withdrawing,
    Replayed,
    Refused,
    Closed,
};

enum class ClaimChartEvent {
    Begin,
    Written,
    FoundOwn,
    FoundOpen,
    FoundOutcome,
    FoundReleased,
    FoundMismatch,
    Absent,
    CallFailed,
    PauseEnded,
    Refuse,
    Abandon,
    Finished,
    FinishedNotRun,
};

enum class ClaimChartAction {
    CreateClaim,
    ReplaceClaim,
    ReadClaim,
    CreateReleasedClaim,
    RecordOutcome,
    ReleaseClaim,
    Pause,
    GrantClaim,
    ReportOutcome,
    ReportMayHaveRun,
    ReportMismatch,
    ReportRefusal,
};

using ClaimBinding = charts::ChartBinding<ClaimState, ClaimChartEvent, ClaimChartAction>;

core::Result<ClaimBinding> bindClaimChart(const charts::StateChart &chart);

} // namespace boragerack::decisions
