#pragma once

#include <chrono>
#include <optional>
#include <string_view>

#include "BurnRateReport.h"

namespace boragerack::cli {

/// Parses the value of the label `le` in seconds. Returns nothing for "+Inf".
std::optional<double> parseBucketBound(std::string_view text);

/// Computes the measures that need only the increase of the counters. The worst-served organisation
/// is determined from the burn rates.
FleetSummary computeFleetSummary(const MetricValues &increase);

/// Counts requests with the outcome "rate_limited" of organisations whose demand over the period
/// `length` was within the rate of their plan. Returns nothing if no node exposes the plan rates.
/// `increase` is the increase of the counters in the period, `gauges` the gauge values at its end.
std::optional<double> countRefusalsWithinRate(const MetricValues &increase,
                                              const MetricValues &gauges,
                                              std::chrono::milliseconds length);

} // namespace boragerack::cli
