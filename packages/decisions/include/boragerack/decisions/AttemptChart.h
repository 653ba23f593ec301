#pragma once

#include "boragerack/charts/ChartBinding.h"

namespace boragerack::decisions {

/// States, events and actions of charts/attempt.json.
enum class AttemptState { Queued, Connecting, Sending, Streaming, Retrying, Succeeded, Failed };

enum class AttemptChartEvent {
    Dispatch,
    DispatchFailed,
    Expire,
    Cancel,
    Connected,
    ConnectionLost,
    AnswerStarted,
    TargetRefused,
    AnswerPart,
    AnswerCompleted,
    RetryAllowed,
    RetryDenied,
};

enum class AttemptChartAction {
    OpenConnection,
    ReportFailure,
    MarkMayHaveRun,
    SendRequest,
    CloseConnection,
    ForwardHead,
    CancelOnTarget,
    ForwardPart,
    MarkRan,
    ReleaseConnection,
    ReportSuccess,
    ChooseTarget,
};

using AttemptBinding = charts::ChartBinding<AttemptState, AttemptChartEvent, AttemptChartAction>;

core::Result<AttemptBinding> bindAttemptChart(const charts::StateChart &chart);

} // namespace boragerack::decisions
