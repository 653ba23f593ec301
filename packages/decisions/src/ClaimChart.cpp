#include "boragerack/decisions/ClaimChart.h"

namespace boragerack::decisions {

namespace {

constexpr charts::EnumNames<ClaimState, 11> kStates {
    {"idle", "creating", "takingOver", "verifying", "held", "recording", "releasing", "withdrawing",
     "replayed", "refused", "closed"}};

constexpr charts::EnumNames<ClaimChartEvent, 14> kEvents {
    {"begin", "written", "foundOwn", "foundOpen", "foundOutcome", "foundReleased", "foundMismatch",
     "absent", "callFailed", "pauseEnded", "refuse", "abandon", "finished", "finishedNotRun"}};

constexpr charts::EnumNames<ClaimChartAction, 12> kActions {
    {"createClaim", "replaceClaim", "readClaim", "createReleasedClaim", "recordOutcome",
     "releaseClaim", "pause", "grantClaim", "reportOutcome", "reportMayHaveRun", "reportMismatch",
     "reportRefusal"}};

} // namespace

core::Result<ClaimBinding> bindClaimChart(const charts::StateChart &chart)
{
    return ClaimBinding::make(chart, kStates, kEvents, kActions);
}

} // namespace boragerack::decisions
