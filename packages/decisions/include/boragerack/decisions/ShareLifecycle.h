#pragma once

#include <memory>

#include "boragerack/charts/ChartBinding.h"
#include "boragerack/charts/StateChart.h"
#include "boragerack/core/Result.h"

namespace boragerack::decisions {

/// Lifecycle of one share as seen by one process (chart `share.json`).
enum class ShareState { Unowned, Acquiring, WarmingUp, Granting, Releasing };
enum class ShareChartEvent {
    AcquireDecided,
    OwnedInTable,
    NotOwnedInTable,
    WarmUpEnded,
    ReleaseDecided
};
enum class ShareChartAction { WriteTable, StartWarmUp, StartGranting, StopGranting };

using ShareBinding = charts::ChartBinding<ShareState, ShareChartEvent, ShareChartAction>;

/// Fails if the chart does not name the states, events and actions above.
core::Result<std::shared_ptr<const ShareBinding>> bindShareChart(const charts::StateChart &chart);

} // namespace boragerack::decisions
