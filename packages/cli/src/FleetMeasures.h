#pragma once

#include <optional>
#include <string_view>

#include "BurnReport.h"

namespace boragerack::cli {

/// Seconds of the label `le`; nothing for "+Inf".
std::optional<double> parseBound(std::string_view text);

/// The measures that come from the growth of the counters alone; the worst-served organisation is
/// found from the burn rates.
FleetMeasures computeMeasures(const MetricValues &growth);

} // namespace boragerack::cli
