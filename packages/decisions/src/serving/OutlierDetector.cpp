#include "boragerack/decisions/serving/OutlierDetector.h"

#include <algorithm>
#include <cmath>

namespace boragerack::decisions {

namespace {

/// Half of an outcome's weight is gone after this time.
constexpr std::chrono::milliseconds kHalfLife(2000);
/// Fewer attempts than this say too little about a target.
constexpr double kMinimumAttempts = 3;
/// A target is set aside above this share of failures, and above twice the share of its service.
constexpr double kFailureShare = 0.25;
constexpr double kServiceFactor = 2;
constexpr std::chrono::milliseconds kSetAside(1500);

} // namespace

void OutlierDetector::Rate::fade(core::TimePoint now)
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
    Standing &standing = targets_[target];
    Rate &overall = services_[service];
    for (Rate *rate : {&standing.rate, &overall}) {
        rate->fade(now);
        rate->attempts += 1;
        rate->failures += outcome == AttemptOutcome::Succeeded ? 0 : 1;
    }
    const double bound = std::max(kFailureShare, kServiceFactor * overall.share());
    if (standing.rate.attempts >= kMinimumAttempts && standing.rate.share() > bound) {
        standing.setAsideUntil = now + kSetAside;
        // The next few requests decide anew.
        standing.rate = {};
    }
}

bool OutlierDetector::isEjected(const core::TargetId &target, core::TimePoint now) const
{
    const auto position = targets_.find(target);
    return position != targets_.end() && now < position->second.setAsideUntil;
}

} // namespace boragerack::decisions
