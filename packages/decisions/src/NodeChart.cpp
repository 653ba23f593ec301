#include "boragerack/decisions/NodeChart.h"

namespace boragerack::decisions {

namespace {

constexpr charts::EnumNames<NodeState, 6> kStates {
    {"starting", "serving", "isolated", "withdrawn", "draining", "stopped"}};

constexpr charts::EnumNames<NodeChartEvent, 6> kEvents {
    {"configurationLoaded", "stopRequested", "freshnessLost", "freshnessRegained",
     "addressLifetimeEnded", "requestsFinished"}};

constexpr charts::EnumNames<NodeChartAction, 8> kActions {
    {"publishAddress", "withdrawAddress", "startAddressTimer", "endStreams", "refuseQueued",
     "refuseNewRequests", "releaseShares", "removeNodeRecord"}};

} // namespace

core::Result<NodeBinding> bindNodeChart(const charts::StateChart &chart)
{
    return NodeBinding::make(chart, kStates, kEvents, kActions);
}

} // namespace boragerack::decisions
