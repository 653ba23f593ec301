#pragma once

#include "boragerack/charts/ChartBinding.h"

namespace boragerack::decisions {

/// States, events and actions of charts/connection.json.
enum class ConnectionState { Opening, Idle, Busy, Probing, Checking, Closed };

enum class ConnectionTrigger {
    Opened,
    Refused,
    Assigned,
    Progress,
    RequestsFinished,
    Silent,
    Lost,
    TargetWorking,
    ProbeAnswered,
    ProbeRefused,
    ProbeSilent,
    IdleExpired,
    Close,
};

enum class ConnectionStep {
    CloseConnection,
    FailRequests,
    ReportSilentTarget,
    ReportTargetDeath,
    OpenProbe,
    CancelProbe,
    AdoptProbe,
};

using ConnectionBinding = charts::ChartBinding<ConnectionState, ConnectionTrigger, ConnectionStep>;

core::Result<ConnectionBinding> bindConnectionChart(const charts::StateChart &chart);

} // namespace boragerack::decisions
