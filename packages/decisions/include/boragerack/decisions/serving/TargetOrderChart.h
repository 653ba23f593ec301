#pragma once

#include "boragerack/charts/ChartBinding.h"

namespace boragerack::decisions {

/// States, events and actions of charts/targetOrder.json.
enum class TargetOrderState { Unknown, Asking, Idle, Ordering, Working, Gone };

enum class TargetOrderTrigger {
    Ask,
    Reported,
    ReportedBusy,
    Unanswered,
    Order,
    Accepted,
    AlreadyHeld,
    NotSent,
    Busy,
    Refused,
    Lost,
    Finished,
    Overdue,
    Left,
};

enum class TargetOrderStep { AskReport, SendOrder, ApplyOrder };

using TargetOrderBinding =
    charts::ChartBinding<TargetOrderState, TargetOrderTrigger, TargetOrderStep>;

core::Result<TargetOrderBinding> bindTargetOrderChart(const charts::StateChart &chart);

} // namespace boragerack::decisions
