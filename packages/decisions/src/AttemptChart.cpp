#include "boragerack/decisions/AttemptChart.h"

namespace boragerack::decisions {

namespace {

constexpr charts::EnumNames<AttemptState, 7> kStates {
    {"queued", "connecting", "sending", "streaming", "retrying", "succeeded", "failed"}};

constexpr charts::EnumNames<AttemptTrigger, 12> kTriggers {
    {"dispatch", "refuse", "expire", "cancel", "connected", "connectionLost", "answerStarted",
     "targetRefused", "answerPart", "answerCompleted", "retryAllowed", "retryDenied"}};

constexpr charts::EnumNames<AttemptStep, 12> kSteps {
    {"openConnection", "reportFailure", "raiseMayHaveRun", "sendRequest", "closeConnection",
     "forwardHead", "cancelOnTarget", "forwardPart", "raiseRan", "releaseConnection",
     "reportSuccess", "chooseTarget"}};

} // namespace

core::Result<AttemptBinding> bindAttemptChart(const charts::StateChart &chart)
{
    return AttemptBinding::make(chart, kStates, kTriggers, kSteps);
}

} // namespace boragerack::decisions
