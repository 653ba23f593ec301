#include "boragerack/decisions/review/ConfigurationFinding.h"

namespace boragerack::decisions {

FindingSeverity severityOf(FindingCode code)
{
    switch (code) {
    case FindingCode::UnclearRouteName:
    case FindingCode::RepeatedKey:
    case FindingCode::ShareWithoutWeight:
    case FindingCode::UnusedService:
    case FindingCode::UnusedPlan:
    case FindingCode::UnusedModel:
    case FindingCode::BurstWithoutRate:
    case FindingCode::LatencyAboveTimeout:
    case FindingCode::AttemptsAboveTargets:
        return FindingSeverity::Warning;
    case FindingCode::MissingName:
    case FindingCode::DuplicateName:
    case FindingCode::UnknownReference:
    case FindingCode::KeyOfTwoOrganisations:
    case FindingCode::CoveredRoute:
    case FindingCode::UnmatchableRoute:
    case FindingCode::BurstBelowRequest:
    case FindingCode::ExclusiveSizeLimits:
    case FindingCode::ExclusiveTimeLimits:
    case FindingCode::ModelAboveTargets:
    case FindingCode::DifferentModelSizes:
    case FindingCode::VersionNotAbove:
        break;
    }
    return FindingSeverity::Error;
}

std::string codeText(FindingCode code)
{
    return "C" + std::to_string(static_cast<int>(code));
}

} // namespace boragerack::decisions
