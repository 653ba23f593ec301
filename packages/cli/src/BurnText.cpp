#include "BurnText.h"

#include <iomanip>
#include <sstream>

namespace boragerack::cli {

namespace {

constexpr int kNameWidth = 20;
constexpr int kRateWidth = 9;
/// A window counts as fully covered if samples are missing for at most 1% of it.
constexpr double kFullCoverage = 0.99;

std::string formatNumber(double value, int digits)
{
    std::ostringstream stream;
    stream << std::fixed << std::setprecision(digits) << value;
    return stream.str();
}

std::string formatQuantile(const std::optional<double> &seconds)
{
    return seconds ? "<= " + formatNumber(*seconds, 3) + " s" : "beyond the buckets";
}

std::string formatCount(const std::optional<double> &value, int digits)
{
    return value ? formatNumber(*value, digits) : "no node exposes the counter";
}

} // namespace

std::string formatWindowName(std::chrono::milliseconds length)
{
    const auto minutes = std::chrono::duration_cast<std::chrono::minutes>(length).count();
    constexpr std::int64_t kMinutesPerHour = 60;
    constexpr std::int64_t kMinutesPerDay = 24 * kMinutesPerHour;
    if (minutes % kMinutesPerDay == 0)
        return std::to_string(minutes / kMinutesPerDay) + " d";
    if (minutes % kMinutesPerHour == 0)
        return std::to_string(minutes / kMinutesPerHour) + " h";
    return std::to_string(minutes) + " min";
}

std::string formatBurnRate(const BurnRateWindow &window)
{
    if (!window.burnRate)
        return "-";
    return formatNumber(*window.burnRate, 2) + (window.coverage < kFullCoverage ? "*" : "");
}

std::vector<std::string> formatFleetSummary(const FleetSummary &summary)
{
    std::vector<std::string> lines;
    std::string coldStarts = "cold starts: " + formatCount(summary.coldStarts, 0);
    if (summary.coldStarts.value_or(0) > 0) {
        coldStarts += ", p50 " + formatQuantile(summary.coldStartP50Seconds) + ", p95 "
            + formatQuantile(summary.coldStartP95Seconds) + ", p99 "
            + formatQuantile(summary.coldStartP99Seconds);
    }
    lines.push_back(coldStarts);
    lines.push_back("idle accelerator hours: " + formatCount(summary.idleAcceleratorHours, 3));
    lines.push_back(summary.worstOrganisation.empty()
                        ? std::string("worst-served organisation: none missed an objective")
                        : "worst-served organisation: " + summary.worstOrganisation + ", objective "
                            + summary.worstObjective + ", burn rate "
                            + formatNumber(summary.worstBurnRate, 2));
    lines.push_back("wrongful refusals: " + formatCount(summary.wrongfulRefusals, 0));
    lines.push_back("refusals within the rate: " + formatCount(summary.refusalsWithinRate, 0));
    return lines;
}

std::string formatBurnText(const BurnRateReport &report)
{
    std::ostringstream stream;
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(report.end - report.begin);
    stream << "burn rates over samples of " << seconds.count()
           << " s; 1 uses the error budget up exactly; * window not fully covered\n";
    stream << std::left << std::setw(kNameWidth) << "organisation" << ' ' << std::setw(kNameWidth)
           << "model" << ' ' << std::setw(kNameWidth) << "objective";
    if (!report.rows.empty()) {
        for (const BurnRateWindow &window : report.rows.front().windows)
            stream << ' ' << std::right << std::setw(kRateWidth) << formatWindowName(window.length);
    }
    stream << '\n';
    for (const BurnRateRow &row : report.rows) {
        stream << std::left << std::setw(kNameWidth) << row.organisation << ' '
               << std::setw(kNameWidth) << (row.model.empty() ? "(all)" : row.model) << ' '
               << std::setw(kNameWidth) << row.objective;
        for (const BurnRateWindow &window : row.windows)
            stream << ' ' << std::right << std::setw(kRateWidth) << formatBurnRate(window);
        stream << '\n';
    }
    for (const std::string &line : formatFleetSummary(report.fleetSummary))
        stream << line << '\n';
    return stream.str();
}

} // namespace boragerack::cli
