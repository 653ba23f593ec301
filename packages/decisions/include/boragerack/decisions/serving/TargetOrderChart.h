#pragma once

#include "boragerack/charts/ChartBinding.h"

namespace boragerack::decisions {

/// States, events and actions of charts/targetOrder.json.
enum class TargetOrderState { Unknown, AwaitingReport, Idle, AwaitingAnswer, Executing, Removed };

enum class TargetOrderChartEvent {
    RequestReport,
    Reported,
    ReportedBusy,
    Unanswered,
    Order,
    Accepted,
    Deferred,
    AlreadyHeld,
    NotSent,
    Busy,
    Refused,
    Lost,
    Finished,
    Overdue,
    EntryRemoved,
};

enum class TargetOrderChartAction { RequestTargetReport, SendOrder, ApplyOrder };

using TargetOrderBinding =
    charts::ChartBinding<TargetOrderState, TargetOrderChartEvent, TargetOrderChartAction>;

core::Result<TargetOrderBinding> bindTargetOrderChart(const charts::StateChart &chart);

} // namespace boragerack::decisions
