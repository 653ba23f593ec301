#pragma once

#include "boragerack/charts/ChartBinding.h"

namespace boragerack::decisions {

/// States, events and actions of charts/claim.json.
enum class ClaimState {
    Idle,
    Creating,
    TakingOver,
    Checking,
    Held,
    Recording,
    Releasing,
    Withdrawing,
    Repeated,
    Refused,
    Closed,
};

enum class ClaimTrigger {
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

enum class ClaimStep {
    CreateClaim,
    ReplaceClaim,
    ReadClaim,
    CreateReleased,
    RecordOutcome,
    ReleaseClaim,
    Pause,
    GrantClaim,
    ReportOutcome,
    ReportMayHaveRun,
    ReportMismatch,
    ReportRefusal,
};

using ClaimBinding = charts::ChartBinding<ClaimState, ClaimTrigger, ClaimStep>;

core::Result<ClaimBinding> bindClaimChart(const charts::StateChart &chart);

} // namespace boragerack::decisions
