#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "boragerack/core/Result.h"

namespace boragerack::config {

/// What an objective counts.
enum class Indicator {
    FirstToken, ///< Answers whose first token came within the threshold.
    InterToken, ///< Tokens that followed the one before within the threshold.
    Refusals, ///< Requests that were not refused or failed through a fault of the fleet.
};

struct Objective
{
    std::string name;
    Indicator indicator = Indicator::FirstToken;
    /// For the two latencies; the bound of a bucket of the node's histograms.
    std::chrono::milliseconds threshold = {};
    /// Share that must be good; the rest is the error budget.
    std::int64_t goodPerMille = 0;

    friend auto operator<=>(const Objective &, const Objective &) = default;
};

/// Settings of `boragerack burn`.
struct ServiceObjectives
{
    std::vector<Objective> objectives;

    friend auto operator<=>(const ServiceObjectives &, const ServiceObjectives &) = default;
};

/// Reads the settings file. `file` names it in errors.
core::Result<ServiceObjectives> parseServiceObjectives(std::string_view file,
                                                       std::string_view text);

} // namespace boragerack::config
