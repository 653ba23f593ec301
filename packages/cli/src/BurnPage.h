#pragma once

#include <string>

#include "BurnRateReport.h"

namespace boragerack::cli {

/// Formats the report as a self-contained HTML page.
std::string formatBurnPage(const BurnRateReport &report);

} // namespace boragerack::cli
