#pragma once

#include <vector>

#include "boragerack/decisions/review/ConfigurationFinding.h"
#include "boragerack/decisions/review/ReviewContext.h"
#include "boragerack/decisions/serving/ServingConfiguration.h"

namespace boragerack::decisions {

/// Returns the faults of a serving configuration: names, routes, keys, limits and sizes. The time
/// is proportional to the size of the configuration, apart from look-ups in maps.
std::vector<ConfigurationFinding> checkConfiguration(const ServingConfiguration &configuration,
                                                     const ReviewContext &context);

} // namespace boragerack::decisions
