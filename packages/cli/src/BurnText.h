#pragma once

#include <string>
#include <vector>

#include "BurnRateReport.h"

namespace boragerack::cli {

/// Table of the report for a terminal.
std::string formatBurnText(const BurnRateReport &report);

// Parts of the report that the text and the page share.
std::string formatWindowName(std::chrono::milliseconds length);
/// Rate with two digits, "-" without requests, "*" appended if the window is not fully covered.
std::string formatBurnRate(const BurnRateWindow &window);
/// One line for each of the four measures.
std::vector<std::string> formatFleetSummary(const FleetSummary &measures);

} // namespace boragerack::cli
