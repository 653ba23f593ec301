#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "boragerack/core/Result.h"

namespace boragerack::config {

/// Service level indicator that an objective applies to.
enum class Indicator {
    FirstToken, ///< Responses whose first token arrived within the threshold.
    InterToken, ///< Tokens that arrived within the threshold after the preceding one.
    Refusals, ///< Requests that were not refused or failed because of a fault in the fleet.
};

struct Objective
{
    std::string name;
    Indicator indicator = Indicator::FirstToken;
    /// Only for the latency indicators; the upper bound of a bucket of the node's histograms.
    std::chrono::milliseconds threshold = {};
    /// Required share of good events in thousandths; the remainder is the error budget.
    std::int64_t goodPerMille = 0;

    friend auto operator<=>(const Objective &, const Objective &) = default;
};

/// Settings of `boragerack burn`.
struct ServiceObjectives
{
    std::vector<Objective> objectives;

    friend auto operator<=>(const ServiceObjectives &, const ServiceObjectives &) = default;
};

/// Parses the text of a settings file; error messages identify it by `file`.
core::Result<ServiceObjectives> parseServiceObjectives(std::string_view file,
                                                       std::string_view text);

} // namespace boragerack::config
