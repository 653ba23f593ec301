#pragma once

#include "boragerack/charts/ChartBinding.h"

namespace boragerack::decisions {

/// States, events and actions of charts/connection.json.
enum class ConnectionState { Opening, Idle, Busy, Probing, ProbingAfterLoss, Closed };

enum class ConnectionChartEvent {
    Opened,
    ConnectFailed,
    Assigned,
    Progress,
    RequestsFinished,
    InactivityTimeout,
    Lost,
    TargetWorking,
    ProbeAnswered,
    ProbeRefused,
    ProbeLost,
    ProbeTimeout,
    IdleTimeout,
    Close,
};

enum class ConnectionChartAction {
    CloseConnection,
    FailRequests,
    ReportUnreachableTarget,
    ReportTargetCrash,
    OpenProbe,
    CancelProbe,
    AdoptProbe,
};

using ConnectionBinding =
    charts::ChartBinding<ConnectionState, ConnectionChartEvent, ConnectionChartAction>;

core::Result<ConnectionBinding> bindConnectionChart(const charts::StateChart &chart);

} // namespace boragerack::decisions
