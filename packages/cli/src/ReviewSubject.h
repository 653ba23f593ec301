#pragma once

#include <optional>
#include <string>
#include <vector>

#include "PlatformSession.h"
#include "ReviewReport.h"
#include "boragerack/core/Result.h"
#include "boragerack/decisions/review/ReviewContext.h"

namespace boragerack::cli {

/// What the input is compared with.
struct ReviewBase
{
    /// Files to compare with; empty if none is given.
    std::vector<std::string> files;
    /// The platform whose configuration in effect to compare with.
    std::optional<PlatformOptions> platform;

    friend auto operator<=>(const ReviewBase &, const ReviewBase &) = default;
};

/// An input of `boragerack review`: a serving configuration or the two lists.
class ReviewSubject
{
public:
    ReviewSubject() = default;
    ReviewSubject(const ReviewSubject &) = delete;
    ReviewSubject &operator=(const ReviewSubject &) = delete;
    virtual ~ReviewSubject() = default;

    /// Reads the input and its base, checks the input and finds the differences. The error has the
    /// code PlatformUnavailable if the platform cannot be read.
    virtual core::Result<ReviewReport> review(decisions::ReviewContext context,
                                              const ReviewBase &base) const = 0;
};

} // namespace boragerack::cli
