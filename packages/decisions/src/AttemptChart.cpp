#include "boragerack/decisions/AttemptChart.h"

namespace boragerack::decisions {

namespace {

constexpr charts::EnumNames<AttemptState, 7> kStates {
    {"queued", "connecting", "sending", "streaming", "retrying", "succeeded", "failed"}};

constexpr charts::EnumNames<AttemptChartEvent, 12> kEvents {
    {"dispatch", "dispatchFailed", "expire", "cancel", "connected", "connectionLost",
     "answerStarted", "targetRefused", "answerPart", "answerCompleted", "retryAllowed",
     "retryDenied"}};

constexpr charts::EnumNames<AttemptChartAction, 12> kActions {
    {"openConnection", "reportFailure", "markMayHaveRun", "sendRequest", "closeConnection",
     "forwardHead", "cancelOnTarget", "forwardPart", "markRan", "releaseConnection",
     "reportSuccess", "chooseTarget"}};

} // namespace

core::Result<AttemptBinding> bindAttemptChart(const charts::StateChart &chart)
{
    return AttemptBinding::make(chart, kStates, kEvents, kActions);
}

} // namespace boragerack::decisions
