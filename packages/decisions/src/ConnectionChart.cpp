#include "boragerack/decisions/ConnectionChart.h"

namespace boragerack::decisions {

namespace {

constexpr charts::EnumNames<ConnectionState, 6> kStates {
    {"opening", "idle", "busy", "probing", "checking", "closed"}};

constexpr charts::EnumNames<ConnectionTrigger, 13> kTriggers {
    {"opened", "refused", "assigned", "progress", "requestsFinished", "silent", "lost",
     "targetWorking", "probeAnswered", "probeRefused", "probeSilent", "idleExpired", "close"}};

constexpr charts::EnumNames<ConnectionStep, 7> kSteps {{"closeConnection", "failRequests",
                                                        "reportSilentTarget", "reportTargetDeath",
                                                        "openProbe", "cancelProbe", "adoptProbe"}};

} // namespace

core::Result<ConnectionBinding> bindConnectionChart(const charts::StateChart &chart)
{
    return ConnectionBinding::make(chart, kStates, kTriggers, kSteps);
}

} // namespace boragerack::decisions
