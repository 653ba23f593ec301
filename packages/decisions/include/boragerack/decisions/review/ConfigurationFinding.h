#pragma once

#include <compare>
#include <string>
#include <string_view>

#include "boragerack/decisions/review/ConfigurationPlace.h"

namespace boragerack::decisions {

/// Rules of `boragerack review`. The values are the stable codes that are printed as C101 and so on
/// and listed in docs/design/configuration-check.md; a code is never reused for another rule.
enum class FindingCode {
    MissingName = 101,
    DuplicateName = 102,
    UnclearRouteName = 103,
    UnknownReference = 104,
    KeyOfTwoOrganisations = 105,
    RepeatedKey = 106,
    CoveredRoute = 201,
    UnmatchableRoute = 202,
    ShareWithoutWeight = 203,
    UnusedService = 204,
    UnusedPlan = 205,
    UnusedModel = 206,
    BurstWithoutRate = 301,
    BurstBelowRequest = 302,
    LatencyAboveTimeout = 303,
    AttemptsAboveTargets = 304,
    ExclusiveSizeLimits = 305,
    ExclusiveTimeLimits = 306,
    ModelAboveTargets = 401,
    DifferentModelSizes = 402,
    VersionNotAbove = 501,
};

enum class FindingSeverity {
    Warning,
    Error,
};

/// One fault of a configuration, described in one sentence.
struct ConfigurationFinding
{
    FindingCode code = FindingCode::MissingName;
    ConfigurationPlace place;
    std::string sentence;

    friend auto operator<=>(const ConfigurationFinding &, const ConfigurationFinding &) = default;
};

/// Error if requests are refused or answered wrongly because of the fault; otherwise a warning.
FindingSeverity severityOf(FindingCode code);

/// Code as printed: "C" and three digits.
std::string codeText(FindingCode code);

} // namespace boragerack::decisions
