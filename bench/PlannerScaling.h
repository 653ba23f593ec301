#pragma once

#include "boragerack/decisions/ReplicaLifecycle.h"

namespace boragerack::bench {

/// Prints the time per decision of the planner at a quarter, a half and the whole target size.
void runPlannerScaling(const decisions::PlacementCharts &charts);

} // namespace boragerack::bench
