#pragma once

#include <string>

#include "BurnRateReport.h"

namespace boragerack::cli {

/// The report as one HTML page that needs no other file.
std::string formatBurnPage(const BurnRateReport &report);

} // namespace boragerack::cli
