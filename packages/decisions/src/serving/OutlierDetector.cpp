#include "boragerack/decisions/serving/OutlierDetector.h"

#include <algorithm>
#include <cmath>

namespace boragerack::decisions {

namespace {

/// Half-life of the weight of an outcome.
constexpr std::chrono::milliseconds kHalfLife(2000);
/// With fewer attempts the failure rate of a target is not significant.
constexpr double kMinAttempts = 3;
/// A target is ejected if its failure rate exceeds both this value and `kServiceShareFactor` times
/// the failure rate of its service.
constexpr double kMinFailureShare = 0.25;
constexpr double kServiceShareFactor = 2;
constexpr std::chrono::milliseconds kEjectionDuration(1500);

} // namespace

void OutlierDetector::Rate::decay(core::TimePoint now)
{
    const double halfLives =
        std::chrono::duration<double>(now - updatedAt) / std::chrono::duration<double>(kHalfLife);
    const double factor = std::exp2(-std::max(0.0, halfLives));
    attempts *= factor;
    failures *= factor;
    updatedAt = now;
}

void OutlierDetector::record(const core::ServiceId &service, const core::TargetId &target,
                             AttemptOutcome outcome, core::TimePoint now)
{
    if (outcome == AttemptOutcome::Abandoned)
        return;
    TargetState &state = targets_[target];
    Rate &overall = services_[service];
    for (Rate *rate : {&state.rate, &overall}) {
        rate->decay(now);
        rate->attempts += 1;
        rate->failures += outcome == AttemptOutcome::Succeeded ? 0 : 1;
    }
    const double bound = std::max(kMinFailureShare, kServiceShareFactor * overall.failureShare());
    if (state.rate.attempts >= kMinAttempts && state.rate.failureShare() > bound) {
        state.ejectedUntil = now + kEjectionDuration;
        // The next few attempts decide anew.
        state.rate = {};
    }
}

bool OutlierDetector::isEjected(const core::TargetId &target, core::TimePoint now) const
{
    const auto position = targets_.find(target);
    return position != targets_.end() && now < position->second.ejectedUntil;
}

} // namespace boragerack::decisions
