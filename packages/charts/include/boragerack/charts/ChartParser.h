#pragma once

#include <filesystem>
#include <string_view>

#include "boragerack/charts/StateChart.h"
#include "boragerack/core/Result.h"

namespace boragerack::charts {

/// Reads a chart from JSON and checks that every transition leads to a known state, every state
/// can be reached, and exactly the final states have no exit.
core::Result<StateChart> parseChart(std::string_view json);

/// Reads `<directory>/<name>.json`.
core::Result<StateChart> loadChart(const std::filesystem::path &directory, std::string_view name);

} // namespace boragerack::charts
