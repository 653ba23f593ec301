#include "FleetSummary.h"

#include <charconv>
#include <map>
#include <system_error>

#include "RequestOutcome.h"

namespace boragerack::cli {

namespace {

constexpr double kSecondsPerHour = 3600;

/// Bound of the bucket in which the quantile lies.
std::optional<double> findQuantile(const std::map<double, double> &countUpTo, double total,
                                   double quantile)
{
    for (const auto &[bound, count] : countUpTo) {
        if (total > 0 && count >= quantile * total)
            return bound;
    }
    return std::nullopt;
}

/// Refused without having run although the caller did nothing wrong.
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

FleetSummary computeFleetSummary(const MetricValues &growth)
{
    FleetSummary measures;
    std::map<double, double> coldStarts;
    for (const auto &[series, value] : growth) {
        if (series.name == "boragerack_cold_start_seconds_bucket") {
            if (const auto bound = parseBucketBound(labelOf(series, "le")))
                coldStarts[*bound] += value;
        } else if (series.name == "boragerack_cold_start_seconds_count") {
            measures.coldStarts = measures.coldStarts.value_or(0) + value;
        } else if (series.name == "boragerack_idle_accelerator_seconds_total") {
            measures.idleAcceleratorHours =
                measures.idleAcceleratorHours.value_or(0) + value / kSecondsPerHour;
        } else if (series.name == kRequestsMetric) {
            measures.wrongfulRefusals =
                measures.wrongfulRefusals.value_or(0) + (isWrongfulRefusal(series) ? value : 0);
        }
    }
    measures.coldStartP50Seconds = findQuantile(coldStarts, measures.coldStarts.value_or(0), 0.5);
    measures.coldStartP95Seconds = findQuantile(coldStarts, measures.coldStarts.value_or(0), 0.95);
    measures.coldStartP99Seconds = findQuantile(coldStarts, measures.coldStarts.value_or(0), 0.99);
    return measures;
}

std::optional<double> countRefusalsWithinRate(const MetricValues &growth,
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
    for (const auto &[series, value] : growth) {
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
