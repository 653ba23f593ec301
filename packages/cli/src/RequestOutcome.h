#pragma once

#include <string_view>

namespace boragerack::cli {

/// Counter of finished requests with the labels organisation, model, outcome and verdict
/// (docs/metrics.md).
inline constexpr std::string_view kRequestsMetric = "boragerack_requests_total";

enum class OutcomeKind {
    Served,
    ClientError, ///< Refused because of the caller, such as above its rate; excluded from
                 ///< objectives.
    ServerError,
};

/// Classifies a value of the label `outcome`: "completed" or an error code. An unknown code counts
/// as a server error.
OutcomeKind classifyOutcome(std::string_view outcome);

} // namespace boragerack::cli
