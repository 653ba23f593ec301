#include "RequestOutcome.h"

#include <algorithm>
#include <array>

namespace boragerack::cli {

OutcomeKind classifyOutcome(std::string_view outcome)
{
    constexpr std::array<std::string_view, 10> kClientErrors = {
        "invalid_request", "unauthenticated", "not_permitted", "not_found",         "conflict",
        "too_large",       "rate_limited",    "quarantined",   "duplicate_request", "cancelled",
    };
    if (outcome == "completed")
        return OutcomeKind::Served;
    return std::find(kClientErrors.begin(), kClientErrors.end(), outcome) != kClientErrors.end()
        ? OutcomeKind::ClientError
        : OutcomeKind::ServerError;
}

} // namespace boragerack::cli
