#pragma once

#include <chrono>
#include <optional>
#include <string_view>

#include "BurnRateReport.h"

namespace boragerack::cli {

/// Seconds of the label `le`; nothing for "+Inf".
std::optional<double> parseBucketBound(std::string_view text);

/// The measures that come from the growth of the counters alone; the worst-served organisation is
/// found from the burn rates.
FleetSummary computeFleetSummary(const MetricValues &growth);

/// Requests with the outcome "rate_limited" of organisations whose demand in a span of time stayed
/// within the rate of their plan; nothing if no node exposes the rates. `growth` is that of the
/// counters in the span, `gauges` their values at its end.
std::optional<double> countRefusalsWithinRate(const MetricValues &growth,
                                              const MetricValues &gauges,
                                              std::chrono::milliseconds length);

} // namespace boragerack::cli
