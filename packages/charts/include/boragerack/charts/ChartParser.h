#pragma once

#include <filesystem>
#include <string_view>

#include "boragerack/charts/StateChart.h"
#include "boragerack/core/Result.h"

namespace boragerack::charts {

/// Parses a chart from JSON and checks that every transition leads to an existing state, every
/// state is reachable, and a state has no outgoing transitions if and only if it is final.
core::Result<StateChart> parseChart(std::string_view json);

/// Reads and parses `<directory>/<name>.json`.
core::Result<StateChart> loadChart(const std::filesystem::path &directory, std::string_view name);

} // namespace boragerack::charts
