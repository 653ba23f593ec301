#include "boragerack/decisions/serving/TargetOrderChart.h"

namespace boragerack::decisions {

namespace {

constexpr charts::EnumNames<TargetOrderState, 6> kStates {
    {"unknown", "awaitingReport", "idle", "awaitingAnswer", "executing", "removed"}};

constexpr charts::EnumNames<TargetOrderChartEvent, 15> kEvents {
    {"requestReport", "reported", "reportedBusy", "unanswered", "order", "accepted", "deferred",
     "alreadyHeld", "notSent", "busy", "refused", "lost", "finished", "overdue", "entryRemoved"}};

constexpr charts::EnumNames<TargetOrderChartAction, 3> kActions {
    {"requestTargetReport", "sendOrder", "applyOrder"}};

} // namespace

core::Result<TargetOrderBinding> bindTargetOrderChart(const charts::StateChart &chart)
{
    return TargetOrderBinding::make(chart, kStates, kEvents, kActions);
}

} // namespace boragerack::decisions
