#pragma once

#include <cstddef>
#include <iosfwd>
#include <string>
#include <vector>

#include "boragerack/cli/ReviewExitCode.h"
#include "boragerack/config/ListReview.h"
#include "boragerack/decisions/review/ConfigurationDifference.h"

namespace boragerack::cli {

/// Result of `boragerack review`.
struct ReviewReport
{
    std::vector<config::PlacedFinding> findings;
    std::vector<decisions::ConfigurationDifference> differences;

    std::size_t count(decisions::FindingSeverity severity) const;
    ReviewExitCode exitCode() const;

    friend auto operator<=>(const ReviewReport &, const ReviewReport &) = default;
};

/// Prints one line for each finding, errors first, one for each difference, and the counts.
void printReviewText(const ReviewReport &report, std::ostream &stream);

/// Prints the report as one JSON object.
void printReviewJson(const ReviewReport &report, std::ostream &stream);

} // namespace boragerack::cli
