#pragma once

#include "boragerack/charts/ChartBinding.h"

namespace boragerack::decisions {

/// States, events and actions of charts/attempt.json.
enum class AttemptState { Queued, Connecting, Sending, Streaming, Retrying, Succeeded, Failed };

enum class AttemptTrigger {
    Dispatch,
    Refuse,
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

enum class AttemptStep {
    OpenConnection,
    ReportFailure,
    RaiseMayHaveRun,
    SendRequest,
    CloseConnection,
    ForwardHead,
    CancelOnTarget,
    ForwardPart,
    RaiseRan,
    ReleaseConnection,
    ReportSuccess,
    ChooseTarget,
};

using AttemptBinding = charts::ChartBinding<AttemptState, AttemptTrigger, AttemptStep>;

core::Result<AttemptBinding> bindAttemptChart(const charts::StateChart &chart);

} // namespace boragerack::decisions
