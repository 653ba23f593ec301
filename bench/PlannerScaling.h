#pragma once

#include "boragerack/decisions/ReplicaLifecycle.h"

namespace boragerack::bench {

/// Prints the planner's processing time per decision at a quarter, half and all of the target
/// deployment size.
void runPlannerScaling(const decisions::PlacementCharts &charts);

} // namespace boragerack::bench
