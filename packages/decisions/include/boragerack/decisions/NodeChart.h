#pragma once

#include "boragerack/charts/ChartBinding.h"

namespace boragerack::decisions {

/// States, events and actions of charts/node.json.
enum class NodeState { Starting, Serving, Isolated, Withdrawn, Draining, Stopped };

enum class NodeChartEvent {
    ConfigurationLoaded,
    StopRequested,
    FreshnessLost,
    FreshnessRegained,
    AddressLifetimeEnded,
    RequestsFinished,
};

enum class NodeChartAction {
    PublishAddress,
    WithdrawAddress,
    StartAddressTimer,
    EndStreams,
    RefuseQueued,
    RefuseNewRequests,
    ReleaseShares,
    RemoveNodeRecord,
};

using NodeBinding = charts::ChartBinding<NodeState, NodeChartEvent, NodeChartAction>;

core::Result<NodeBinding> bindNodeChart(const charts::StateChart &chart);

} // namespace boragerack::decisions
