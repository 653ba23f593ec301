#pragma once

#include <string>

#include "BurnReport.h"

namespace boragerack::cli {

/// The report as one HTML page that needs no other file.
std::string formatBurnPage(const BurnReport &report);

} // namespace boragerack::cli
