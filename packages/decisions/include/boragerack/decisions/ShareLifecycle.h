#pragma once

#include <memory>

#include "boragerack/charts/ChartBinding.h"
#include "boragerack/charts/StateChart.h"
#include "boragerack/core/Result.h"

namespace boragerack::decisions {

/// Lifecycle of one share as seen by one process (chart `share.json`).
enum class ShareState { Unowned, Claiming, WarmingUp, Granting, Releasing };
enum class ShareEvent { ClaimDecided, OwnedInTable, NotOwnedInTable, WarmUpEnded, ReleaseDecided };
enum class ShareStep { WriteTable, StartWarmUp, StartGranting, StopGranting };

using ShareChart = charts::ChartBinding<ShareState, ShareEvent, ShareStep>;

/// Fails if the chart does not name the states, events and actions above.
core::Result<std::shared_ptr<const ShareChart>> makeShareChart(const charts::StateChart &chart);

} // namespace boragerack::decisions
