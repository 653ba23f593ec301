#pragma once

#include <memory>

#include "boragerack/charts/ChartBinding.h"
#include "boragerack/charts/StateChart.h"
#include "boragerack/core/Result.h"

namespace boragerack::decisions {

/// States of one share in one process (chart `share.json`).
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

/// Binds the chart to the states, events and actions above; fails if the names do not match.
core::Result<std::shared_ptr<const ShareBinding>> bindShareChart(const charts::StateChart &chart);

} // namespace boragerack::decisions
