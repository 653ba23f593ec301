#include "boragerack/decisions/serving/CoordinatorChart.h"

namespace boragerack::decisions {

namespace {

constexpr charts::EnumNames<CoordinatorState, 9> kStates {{"following", "looking", "claiming",
                                                           "holding", "renewing", "verifying",
                                                           "doubting", "releasing", "stopped"}};

constexpr charts::EnumNames<CoordinatorTrigger, 10> kTriggers {
    {"look", "foundHeld", "foundFree", "foundOwn", "foundOther", "applied", "conflict",
     "unanswered", "renew", "stop"}};

constexpr charts::EnumNames<CoordinatorStep, 6> kSteps {
    {"readLease", "writeLease", "writeRelease", "startTerm", "extendTerm", "endTerm"}};

} // namespace

core::Result<CoordinatorBinding> bindCoordinatorChart(const charts::StateChart &chart)
{
    return CoordinatorBinding::make(chart, kStates, kTriggers, kSteps);
}

} // namespace boragerack::decisions
