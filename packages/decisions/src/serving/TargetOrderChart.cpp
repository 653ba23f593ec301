#include "boragerack/decisions/serving/TargetOrderChart.h"

namespace boragerack::decisions {

namespace {

constexpr charts::EnumNames<TargetOrderState, 6> kStates {
    {"unknown", "asking", "idle", "ordering", "working", "gone"}};

constexpr charts::EnumNames<TargetOrderTrigger, 14> kTriggers {
    {"ask", "reported", "reportedBusy", "unanswered", "order", "accepted", "alreadyHeld", "notSent",
     "busy", "refused", "lost", "finished", "overdue", "left"}};

constexpr charts::EnumNames<TargetOrderStep, 3> kSteps {{"askReport", "sendOrder", "applyOrder"}};

} // namespace

core::Result<TargetOrderBinding> bindTargetOrderChart(const charts::StateChart &chart)
{
    return TargetOrderBinding::make(chart, kStates, kTriggers, kSteps);
}

} // namespace boragerack::decisions
