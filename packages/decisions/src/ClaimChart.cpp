#include "boragerack/decisions/ClaimChart.h"

namespace boragerack::decisions {

namespace {

constexpr charts::EnumNames<ClaimState, 11> kStates {
    {"idle", "creating", "takingOver", "checking", "held", "recording", "releasing", "withdrawing",
     "repeated", "refused", "closed"}};

constexpr charts::EnumNames<ClaimTrigger, 14> kTriggers {
    {"begin", "written", "foundOwn", "foundOpen", "foundOutcome", "foundReleased", "foundMismatch",
     "absent", "callFailed", "pauseEnded", "refuse", "abandon", "finished", "finishedNotRun"}};

constexpr charts::EnumNames<ClaimStep, 12> kSteps {
    {"createClaim", "replaceClaim", "readClaim", "createReleased", "recordOutcome", "releaseClaim",
     "pause", "grantClaim", "reportOutcome", "reportMayHaveRun", "reportMismatch",
     "reportRefusal"}};

} // namespace

core::Result<ClaimBinding> bindClaimChart(const charts::StateChart &chart)
{
    return ClaimBinding::make(chart, kStates, kTriggers, kSteps);
}

} // namespace boragerack::decisions
