#pragma once

#include <string_view>

namespace boragerack::cli {

/// Counter of finished requests with the labels organisation, model, outcome and verdict
/// (docs/metrics.md).
inline constexpr std::string_view kRequestsMetric = "boragerack_requests_total";

enum class OutcomeKind {
    Served,
    ClientError, ///< Refused rightly, for instance above the rate; no objective counts it.
    ServerError,
};

/// Kind of a value of the label `outcome`: "completed" or the code of an error. A code that is not
/// known counts against the fleet.
OutcomeKind classifyOutcome(std::string_view outcome);

} // namespace boragerack::cli
