#pragma once

#include <string>
#include <vector>

#include "BurnRateReport.h"

namespace boragerack::cli {

/// Formats the report as a plain-text table.
std::string formatBurnText(const BurnRateReport &report);

// Formatting shared by the text and the HTML report.
std::string formatWindowName(std::chrono::milliseconds length);
/// Burn rate with two decimals; "-" without requests; "*" is appended if samples do not cover the
/// whole window.
std::string formatBurnRate(const BurnRateWindow &window);
/// One line for each fleet-wide measure.
std::vector<std::string> formatFleetSummary(const FleetSummary &summary);

} // namespace boragerack::cli
