#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "MetricHistory.h"
#include "boragerack/config/ServiceObjectives.h"

namespace boragerack::cli {

/// Result of one objective over one period.
struct BurnRateWindow
{
    std::chrono::milliseconds length = {};
    /// Fraction of the window that is covered by samples, 0 to 1.
    double coverage = 0;
    double total = 0;
    double errors = 0;
    /// Error rate divided by the error budget; 1 consumes the budget exactly. Empty if there was no
    /// request.
    std::optional<double> burnRate;

    friend auto operator<=>(const BurnRateWindow &, const BurnRateWindow &) = default;
};

/// One objective of one organisation, for one model or, if `model` is empty, for all models.
struct BurnRateRow
{
    std::string organisation;
    std::string model;
    std::string objective;
    std::vector<BurnRateWindow> windows;
    /// Consecutive periods from the first to the last sample.
    std::vector<BurnRateWindow> timeline;

    friend auto operator<=>(const BurnRateRow &, const BurnRateRow &) = default;
};

/// Fleet-wide measures over the whole history. A value is empty if no node exposes its counter. A
/// quantile is the upper bound of its histogram bucket and empty if that is the +Inf bucket.
struct FleetSummary
{
    std::optional<double> coldStartP50Seconds;
    std::optional<double> coldStartP95Seconds;
    std::optional<double> coldStartP99Seconds;
    std::optional<double> coldStarts;
    std::optional<double> idleAcceleratorHours;
    /// Organisation and objective with the highest burn rate in the longest window.
    std::string worstOrganisation;
    std::string worstObjective;
    double worstBurnRate = 0;
    /// Requests refused with the verdict not_run because of a server error.
    std::optional<double> wrongfulRefusals;
    /// Requests refused as rate_limited while the organisation was within its rate
    /// (docs/metrics.md).
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

/// Computes burn rates over the windows of 5 min, 1 h, 6 h and 3 d that end at the last sample.
BurnRateReport computeBurnRates(const MetricHistory &history,
                                const config::ServiceObjectives &settings);

} // namespace boragerack::cli
