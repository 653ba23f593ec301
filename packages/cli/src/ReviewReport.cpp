#include "ReviewReport.h"

#include <algorithm>
#include <ostream>
#include <string_view>

#include <boost/json.hpp>

namespace boragerack::cli {

namespace json = boost::json;
using decisions::FindingSeverity;

namespace {

std::string_view nameOf(FindingSeverity severity)
{
    return severity == FindingSeverity::Error ? "error" : "warning";
}

void printFindings(const ReviewReport &report, FindingSeverity severity, std::ostream &stream)
{
    for (const config::PlacedFinding &finding : report.findings) {
        if (decisions::severityOf(finding.code) == severity) {
            stream << nameOf(severity) << ' ' << decisions::codeText(finding.code) << ' '
                   << finding.place << ": " << finding.sentence << '\n';
        }
    }
}

std::string countText(std::size_t count, const std::string &noun)
{
    return std::to_string(count) + " " + noun + (count == 1 ? "" : "s");
}

} // namespace

std::size_t ReviewReport::count(FindingSeverity severity) const
{
    return static_cast<std::size_t>(std::ranges::count_if(findings, [severity](const auto &entry) {
        return decisions::severityOf(entry.code) == severity;
    }));
}

ReviewExitCode ReviewReport::exitCode() const
{
    if (count(FindingSeverity::Error) > 0)
        return ReviewErrors;
    return findings.empty() ? ReviewClean : ReviewWarnings;
}

void printReviewText(const ReviewReport &report, std::ostream &stream)
{
    printFindings(report, FindingSeverity::Error, stream);
    printFindings(report, FindingSeverity::Warning, stream);
    for (const decisions::ConfigurationDifference &difference : report.differences) {
        stream << "difference " << difference.subject << ": " << nameOf(difference.kind);
        if (!difference.before.empty() && !difference.after.empty())
            stream << ", " << difference.before << " -> " << difference.after;
        else if (difference.kind == decisions::DifferenceKind::KeyAdded
                 || difference.kind == decisions::DifferenceKind::KeyWithdrawn)
            stream << " " << difference.before << difference.after;
        stream << '\n';
    }
    stream << countText(report.count(FindingSeverity::Error), "error") << ", "
           << countText(report.count(FindingSeverity::Warning), "warning") << ", "
           << countText(report.differences.size(), "difference") << '\n';
}

void printReviewJson(const ReviewReport &report, std::ostream &stream)
{
    json::array findings;
    for (const config::PlacedFinding &finding : report.findings) {
        findings.push_back(json::object {
            {"code", decisions::codeText(finding.code)},
            {"severity", nameOf(decisions::severityOf(finding.code))},
            {"place", finding.place},
            {"sentence", finding.sentence},
        });
    }
    json::array differences;
    for (const decisions::ConfigurationDifference &difference : report.differences) {
        differences.push_back(json::object {
            {"subject", difference.subject},
            {"kind", nameOf(difference.kind)},
            {"before", difference.before},
            {"after", difference.after},
        });
    }
    stream << json::object {{"errors", report.count(FindingSeverity::Error)},
                            {"warnings", report.count(FindingSeverity::Warning)},
                            {"findings", std::move(findings)},
                            {"differences", std::move(differences)}}
           << '\n';
}

} // namespace boragerack::cli
