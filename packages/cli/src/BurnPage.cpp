#include "BurnPage.h"

#include <algorithm>
#include <sstream>

#include "BurnText.h"

namespace boragerack::cli {

namespace {

constexpr double kWidth = 360;
constexpr double kHeight = 60;
/// Higher burn rates are clipped to this value in the timeline.
constexpr double kMaxChartRate = 20;
/// A burn rate of 6 consumes a 30-day error budget in five days.
constexpr double kHighRate = 6;

std::string escape(const std::string &text)
{
    std::string escaped;
    for (const char character : text) {
        switch (character) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += character;
        }
    }
    return escaped;
}

const char *classOf(const BurnRateWindow &window)
{
    if (!window.burnRate)
        return "none";
    return *window.burnRate > kHighRate ? "high" : *window.burnRate > 1 ? "over" : "good";
}

/// Vertical position of a burn rate, scaled to the highest rate in the timeline.
double yPositionOf(double rate, double highest)
{
    return kHeight - std::min(rate, highest) / highest * (kHeight - 2) - 1;
}

/// Draws the burn rate over time with a line at rate 1.
void drawTimeline(const BurnRateRow &row, std::ostream &stream)
{
    double highest = 2;
    for (const BurnRateWindow &point : row.timeline)
        highest = std::max(highest, std::min(point.burnRate.value_or(0), kMaxChartRate));
    const double limit = yPositionOf(1, highest);
    stream << "<svg width=\"" << kWidth << "\" height=\"" << kHeight
           << "\" role=\"img\"><title>burn rate over time, up to " << highest << "</title>"
           << "<line class=\"limit\" x1=\"0\" x2=\"" << kWidth << "\" y1=\"" << limit << "\" y2=\""
           << limit << "\"/>";
    const double step = kWidth / static_cast<double>(std::max<std::size_t>(1, row.timeline.size()));
    double x = 0;
    for (const BurnRateWindow &point : row.timeline) {
        if (point.burnRate) {
            const double y = yPositionOf(*point.burnRate, highest);
            stream << "<rect class=\"" << classOf(point) << "\" x=\"" << x << "\" y=\"" << y
                   << "\" width=\"" << std::max(1.0, step - 1) << "\" height=\"" << kHeight - y
                   << "\"/>";
        }
        x += step;
    }
    stream << "</svg>";
}

void writeRow(const BurnRateRow &row, std::ostream &stream)
{
    stream << "<tr><td>" << escape(row.organisation) << "</td><td>"
           << (row.model.empty() ? "(all)" : escape(row.model)) << "</td><td>"
           << escape(row.objective) << "</td>";
    for (const BurnRateWindow &window : row.windows) {
        stream << "<td class=\"" << classOf(window) << "\" title=\"" << window.errors << " of "
               << window.total << "\">" << formatBurnRate(window) << "</td>";
    }
    stream << "<td>";
    drawTimeline(row, stream);
    stream << "</td></tr>\n";
}

} // namespace

std::string formatBurnPage(const BurnRateReport &report)
{
    std::ostringstream stream;
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(report.end - report.begin);
    stream << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
              "<title>Service-level burn report</title><style>"
              "body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}"
              "td,th{padding:.3em .6em;border-bottom:1px solid #ccc;text-align:left}"
              "td.good{background:#dff0d8}td.over{background:#fcefc7}td.high{background:#f4c7c3}"
              "td.none{color:#888}rect.good{fill:#5a9e4b}rect.over{fill:#d9a520}"
              "rect.high{fill:#c0392b}line.limit{stroke:#444;stroke-dasharray:3 3}"
              "</style></head><body>\n<h1>Service-level burn report</h1>\n<p>Samples of "
           << seconds.count()
           << " s. A burn rate of 1 uses the error budget up exactly; * marks a window that the "
              "samples do not fully cover.</p>\n<ul>\n";
    for (const std::string &line : formatFleetSummary(report.fleetSummary))
        stream << "<li>" << escape(line) << "</li>\n";
    stream << "</ul>\n<table>\n<tr><th>organisation</th><th>model</th><th>objective</th>";
    if (!report.rows.empty()) {
        for (const BurnRateWindow &window : report.rows.front().windows)
            stream << "<th>" << formatWindowName(window.length) << "</th>";
    }
    stream << "<th>burn rate over time, dashed line at 1</th></tr>\n";
    for (const BurnRateRow &row : report.rows)
        writeRow(row, stream);
    stream << "</table>\n</body></html>\n";
    return stream.str();
}

} // namespace boragerack::cli
