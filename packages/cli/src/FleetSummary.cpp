#include "FleetSummary.h"

#include <charconv>
#include <map>
#include <system_error>

#include "RequestOutcome.h"

namespace boragerack::cli {

namespace {

constexpr double kSecondsPerHour = 3600;

/// Upper bound of the bucket that contains the quantile.
std::optional<double> findQuantile(const std::map<double, double> &cumulativeCounts, double total,
                                   double quantile)
{
    for (const auto &[bound, count] : cumulativeCounts) {
        if (total > 0 && count >= quantile * total)
            return bound;
    }
    return std::nullopt;
}

/// Whether the series counts requests that were refused before running because of a server error.
bool isWrongfulRefusal(const MetricSeries &series)
{
    return labelOf(series, "verdict") == "not_run"
        && classifyOutcome(labelOf(series, "outcome")) == OutcomeKind::ServerError;
}

} // namespace

std::optional<double> parseBucketBound(std::string_view text)
{
    double seconds = 0;
    const char *last = text.data() + text.size();
    const auto [end, code] = std::from_chars(text.data(), last, seconds);
    if (code != std::errc() || end != last)
        return std::nullopt;
    return seconds;
}

FleetSummary computeFleetSummary(const MetricValues &increase)
{
    FleetSummary summary;
    std::map<double, double> coldStarts;
    for (const auto &[series, value] : increase) {
        if (series.name == "boragerack_cold_start_seconds_bucket") {
            if (const auto bound = parseBucketBound(labelOf(series, "le")))
                coldStarts[*bound] += value;
        } else if (series.name == "boragerack_cold_start_seconds_count") {
            summary.coldStarts = summary.coldStarts.value_or(0) + value;
        } else if (series.name == "boragerack_idle_accelerator_seconds_total") {
            summary.idleAcceleratorHours =
                summary.idleAcceleratorHours.value_or(0) + value / kSecondsPerHour;
        } else if (series.name == kRequestsMetric) {
            summary.wrongfulRefusals =
                summary.wrongfulRefusals.value_or(0) + (isWrongfulRefusal(series) ? value : 0);
        }
    }
    summary.coldStartP50Seconds = findQuantile(coldStarts, summary.coldStarts.value_or(0), 0.5);
    summary.coldStartP95Seconds = findQuantile(coldStarts, summary.coldStarts.value_or(0), 0.95);
    summary.coldStartP99Seconds = findQuantile(coldStarts, summary.coldStarts.value_or(0), 0.99);
    return summary;
}

std::optional<double> countRefusalsWithinRate(const MetricValues &increase,
                                              const MetricValues &gauges,
                                              std::chrono::milliseconds length)
{
    std::map<std::string, double> permitted;
    for (const auto &[series, value] : gauges) {
        if (series.name == "boragerack_plan_tokens_per_second")
            permitted[labelOf(series, "organisation")] =
                value * std::chrono::duration<double>(length).count();
    }
    if (permitted.empty())
        return std::nullopt;
    std::map<std::string, double> demand;
    std::map<std::string, double> refused;
    for (const auto &[series, value] : increase) {
        const std::string organisation = labelOf(series, "organisation");
        if (series.name == "boragerack_tokens_admitted_total"
            || series.name == "boragerack_tokens_refused_total")
            demand[organisation] += value;
        else if (series.name == kRequestsMetric && labelOf(series, "outcome") == "rate_limited")
            refused[organisation] += value;
    }
    double sum = 0;
    for (const auto &[organisation, requests] : refused) {
        const auto limit = permitted.find(organisation);
        if (limit != permitted.end() && demand[organisation] <= limit->second)
            sum += requests;
    }
    return sum;
}

} // namespace boragerack::cli
