#include "boragerack/decisions/serving/CoordinatorChart.h"

namespace boragerack::decisions {

namespace {

constexpr charts::EnumNames<CoordinatorState, 9> kStates {{"following", "reading", "acquiring",
                                                           "holding", "renewing", "verifying",
                                                           "unverified", "releasing", "stopped"}};

constexpr charts::EnumNames<CoordinatorChartEvent, 10> kEvents {
    {"poll", "foundHeld", "foundFree", "foundOwn", "foundOther", "applied", "conflict",
     "unanswered", "renew", "stop"}};

constexpr charts::EnumNames<CoordinatorChartAction, 6> kActions {
    {"readLease", "writeLease", "writeRelease", "startTerm", "extendTerm", "endTerm"}};

} // namespace

core::Result<CoordinatorBinding> bindCoordinatorChart(const charts::StateChart &chart)
{
    return CoordinatorBinding::make(chart, kStates, kEvents, kActions);
}

} // namespace boragerack::decisions
