#include "boragerack/decisions/ConnectionChart.h"

namespace boragerack::decisions {

namespace {

constexpr charts::EnumNames<ConnectionState, 6> kStates {
    {"opening", "idle", "busy", "probing", "probingAfterLoss", "closed"}};

constexpr charts::EnumNames<ConnectionChartEvent, 14> kEvents {
    {"opened", "connectFailed", "assigned", "progress", "requestsFinished", "inactivityTimeout",
     "lost", "targetWorking", "probeAnswered", "probeRefused", "probeLost", "probeTimeout",
     "idleTimeout", "close"}};

constexpr charts::EnumNames<ConnectionChartAction, 7> kActions {
    {"closeConnection", "failRequests", "reportUnreachableTarget", "reportTargetCrash", "openProbe",
     "cancelProbe", "adoptProbe"}};

} // namespace

core::Result<ConnectionBinding> bindConnectionChart(const charts::StateChart &chart)
{
    return ConnectionBinding::make(chart, kStates, kEvents, kActions);
}

} // namespace boragerack::decisions
