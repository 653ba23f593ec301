#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "MetricHistory.h"
#include "boragerack/config/ServiceObjectives.h"

namespace boragerack::cli {

/// One objective in one span of time.
struct BurnRateWindow
{
    std::chrono::milliseconds length = {};
    /// Part of the window for which there are samples, 0 to 1.
    double coverage = 0;
    double total = 0;
    double errors = 0;
    /// Error rate divided by the error budget; 1 uses the budget up exactly. Nothing when there
    /// was no request.
    std::optional<double> burnRate;

    friend auto operator<=>(const BurnRateWindow &, const BurnRateWindow &) = default;
};

/// One objective of one organisation, for one model or for all of them (empty).
struct BurnRateRow
{
    std::string organisation;
    std::string model;
    std::string objective;
    std::vector<BurnRateWindow> windows;
    /// Consecutive spans from the first to the last sample.
    std::vector<BurnRateWindow> timeline;

    friend auto operator<=>(const BurnRateRow &, const BurnRateRow &) = default;
};

/// The four measures over the whole history. Nothing stands for counters that no node exposes. A
/// quantile is the bound of the bucket it falls in, and nothing if that is the last one.
struct FleetSummary
{
    std::optional<double> coldStartP50Seconds;
    std::optional<double> coldStartP95Seconds;
    std::optional<double> coldStartP99Seconds;
    std::optional<double> coldStarts;
    std::optional<double> idleAcceleratorHours;
    /// Organisation and objective of the highest burn rate over the history.
    std::string worstOrganisation;
    std::string worstObjective;
    double worstBurnRate = 0;
    /// Requests refused as not run through a fault of the fleet.
    std::optional<double> wrongfulRefusals;
    /// Requests refused for their rate while the organisation stayed within it (docs/metrics.md).
    std::optional<double> refusalsWithinRate;

    friend auto operator<=>(const FleetSummary &, const FleetSummary &) = default;
};

struct BurnRateReport
{
    std::chrono::milliseconds begin = {};
    std::chrono::milliseconds end = {};
    std::vector<BurnRateRow> rows;
    FleetSummary fleetSummary;

    friend auto operator<=>(const BurnRateReport &, const BurnRateReport &) = default;
};

/// Burn rates in the windows 5 min, 1 h, 6 h and 3 d that end with the last sample.
BurnRateReport computeBurnRates(const MetricHistory &history,
                                const config::ServiceObjectives &settings);

} // namespace boragerack::cli
