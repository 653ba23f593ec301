#pragma once

#include "boragerack/charts/ChartParser.h"
#include "boragerack/decisions/ReplicaLifecycle.h"

namespace boragerack::decisions {

/// Loads the state charts of the repository.
inline PlacementCharts loadPlacementCharts()
{
    return core::valueOf(
        makePlacementCharts(core::valueOf(charts::loadChart(BORAGERACK_CHARTS_DIR, "order")),
                            core::valueOf(charts::loadChart(BORAGERACK_CHARTS_DIR, "replica"))));
}

} // namespace boragerack::decisions
