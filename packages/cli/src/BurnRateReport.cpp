#include "BurnRateReport.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "FleetSummary.h"
#include "RequestOutcome.h"

namespace boragerack::cli {

namespace {

using Time = std::chrono::milliseconds;

constexpr std::array<Time, 4> kWindows = {std::chrono::minutes(5), std::chrono::hours(1),
                                          std::chrono::hours(6), std::chrono::hours(72)};
constexpr std::size_t kTimelinePoints = 48;
constexpr double kPerMille = 1000;

/// Organisation and model; an empty model means all models.
using Group = std::pair<std::string, std::string>;

struct Counts
{
    double total = 0;
    double good = 0;
};

using GroupCounts = std::map<Group, Counts>;

void addToGroups(const MetricSeries &series, double total, double good, GroupCounts &counts)
{
    const std::string organisation = labelOf(series, "organisation");
    for (const std::string &model : std::set<std::string> {"", labelOf(series, "model")}) {
        Counts &group = counts[{organisation, model}];
        group.total += total;
        group.good += good;
    }
}

/// Returns the largest bucket bound that does not exceed the threshold. If the threshold lies
/// inside a bucket, the observations in that bucket count as errors.
std::string findBound(const MetricValues &values, const std::string &bucketName, Time threshold)
{
    const double limit = std::chrono::duration<double>(threshold).count();
    double best = -1;
    std::string text;
    for (const auto &[series, value] : values) {
        if (series.name != bucketName)
            continue;
        const std::string bound = labelOf(series, "le");
        if (const auto seconds = parseBucketBound(bound);
            seconds && *seconds <= limit && *seconds > best) {
            best = *seconds;
            text = bound;
        }
    }
    return text;
}

GroupCounts countLatency(const MetricValues &values, const std::string &name, Time threshold)
{
    const std::string bucketName = name + "_bucket";
    const std::string bound = findBound(values, bucketName, threshold);
    GroupCounts counts;
    for (const auto &[series, value] : values) {
        if (series.name == name + "_count")
            addToGroups(series, value, 0, counts);
        else if (series.name == bucketName && !bound.empty() && labelOf(series, "le") == bound)
            addToGroups(series, 0, value, counts);
    }
    return counts;
}

GroupCounts countRequests(const MetricValues &values)
{
    GroupCounts counts;
    for (const auto &[series, value] : values) {
        if (series.name != kRequestsMetric)
            continue;
        const OutcomeKind kind = classifyOutcome(labelOf(series, "outcome"));
        if (kind != OutcomeKind::ClientError)
            addToGroups(series, value, kind == OutcomeKind::Served ? value : 0, counts);
    }
    return counts;
}

GroupCounts countObjective(const MetricValues &values, const config::Objective &objective)
{
    switch (objective.indicator) {
    case config::Indicator::FirstToken:
        return countLatency(values, "boragerack_first_token_seconds", objective.threshold);
    case config::Indicator::InterToken:
        return countLatency(values, "boragerack_inter_token_seconds", objective.threshold);
    case config::Indicator::Refusals:
        break;
    }
    return countRequests(values);
}

BurnRateWindow makeWindow(Time length, double coverage, const Counts &counts,
                          const config::Objective &objective)
{
    BurnRateWindow window {length, coverage, counts.total, counts.total - counts.good,
                           std::nullopt};
    const double budget = 1 - static_cast<double>(objective.goodPerMille) / kPerMille;
    if (counts.total > 0)
        window.burnRate = window.errors / counts.total / budget;
    return window;
}

Counts countsOf(const GroupCounts &counts, const Group &group)
{
    const auto found = counts.find(group);
    return found == counts.end() ? Counts() : found->second;
}

/// A period of the history with the increase of the counters in it.
struct Span
{
    Time length = {};
    double coverage = 0;
    MetricValues values;
    /// Gauge values at the end of the period; only set in the timeline.
    MetricValues gauges;
};

std::vector<Span> makeWindows(const MetricHistory &history)
{
    std::vector<Span> spans;
    for (const Time length : kWindows) {
        const Time covered = std::min(length, history.end() - history.begin());
        spans.push_back({length,
                         static_cast<double>(covered.count()) / static_cast<double>(length.count()),
                         history.increase(history.end() - length, history.end()),
                         {}});
    }
    return spans;
}

std::vector<Span> makeTimeline(const MetricHistory &history)
{
    std::vector<Span> spans;
    const Time whole = history.end() - history.begin();
    for (std::size_t i = 0; i < kTimelinePoints && whole.count() > 0; ++i) {
        const Time from = history.begin() + whole * i / kTimelinePoints;
        const Time to = history.begin() + whole * (i + 1) / kTimelinePoints;
        spans.push_back({to - from, 1, history.increase(from, to), history.latest(to)});
    }
    return spans;
}

std::vector<BurnRateRow> makeRows(const std::vector<Span> &windows,
                                  const std::vector<Span> &timeline,
                                  const config::Objective &objective)
{
    std::vector<GroupCounts> windowCounts;
    std::vector<GroupCounts> timelineCounts;
    std::set<Group> groups;
    for (const Span &span : windows) {
        windowCounts.push_back(countObjective(span.values, objective));
        for (const auto &[group, counts] : windowCounts.back())
            groups.insert(group);
    }
    for (const Span &span : timeline)
        timelineCounts.push_back(countObjective(span.values, objective));
    std::vector<BurnRateRow> rows;
    for (const Group &group : groups) {
        BurnRateRow row {group.first, group.second, objective.name, {}, {}};
        for (std::size_t i = 0; i < windows.size(); ++i)
            row.windows.push_back(makeWindow(windows[i].length, windows[i].coverage,
                                             countsOf(windowCounts[i], group), objective));
        for (std::size_t i = 0; i < timeline.size(); ++i)
            row.timeline.push_back(makeWindow(timeline[i].length, timeline[i].coverage,
                                              countsOf(timelineCounts[i], group), objective));
        rows.push_back(std::move(row));
    }
    return rows;
}

} // namespace

BurnRateReport computeBurnRates(const MetricHistory &history,
                                const config::ServiceObjectives &settings)
{
    BurnRateReport report;
    report.begin = history.begin();
    report.end = history.end();
    const auto windows = makeWindows(history);
    const auto timeline = makeTimeline(history);
    for (const config::Objective &objective : settings.objectives) {
        auto rows = makeRows(windows, timeline, objective);
        report.rows.insert(report.rows.end(), rows.begin(), rows.end());
    }
    std::stable_sort(report.rows.begin(), report.rows.end(),
                     [](const auto &left, const auto &right) {
                         return std::tie(left.organisation, left.model)
                             < std::tie(right.organisation, right.model);
                     });
    report.fleetSummary = computeFleetSummary(history.increase(history.begin(), history.end()));
    for (const Span &span : timeline) {
        if (const auto count = countRefusalsWithinRate(span.values, span.gauges, span.length)) {
            report.fleetSummary.refusalsWithinRate =
                report.fleetSummary.refusalsWithinRate.value_or(0) + *count;
        }
    }
    for (const BurnRateRow &row : report.rows) {
        // Uses the longest window. The history may be shorter than it.
        const auto &burnRate = row.windows.back().burnRate;
        if (row.model.empty() && burnRate && *burnRate > report.fleetSummary.worstBurnRate) {
            report.fleetSummary.worstBurnRate = *burnRate;
            report.fleetSummary.worstOrganisation = row.organisation;
            report.fleetSummary.worstObjective = row.objective;
        }
    }
    return report;
}

} // namespace boragerack::cli
