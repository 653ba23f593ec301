#include "boragerack/decisions/WeightStoreLimiter.h"

#include <algorithm>

namespace boragerack::decisions {

namespace {

using Seconds = std::chrono::duration<double>;

// Tokens needed for a load. The tolerance covers rounding when a delay is converted to clock ticks.
constexpr double kMinTokens = 1 - 1e-6;

} // namespace

WeightStoreLimiter::WeightStoreLimiter(const WeightStoreLimits &limits)
    : limits_(limits)
    , tokens_(std::max(1.0, limits.modelLoadsPerSecond))
{
}

double WeightStoreLimiter::tokensAt(core::TimePoint now) const
{
    const double refilled = Seconds(now - lastRefillAt_).count() * limits_.modelLoadsPerSecond;
    return std::min(std::max(1.0, limits_.modelLoadsPerSecond), tokens_ + refilled);
}

bool WeightStoreLimiter::hasModelRoom(core::TimePoint now) const
{
    return modelLoads_ < limits_.modelLoadsAtOnce && tokensAt(now) >= kMinTokens;
}

core::TimePoint WeightStoreLimiter::nextModelLoad(core::TimePoint now) const
{
    const double missing = std::max(0.0, 1 - tokensAt(now));
    return now + std::chrono::ceil<core::Duration>(Seconds(missing / limits_.modelLoadsPerSecond));
}

void WeightStoreLimiter::startModelLoad(core::TimePoint now)
{
    tokens_ = tokensAt(now) - 1;
    lastRefillAt_ = now;
    ++modelLoads_;
}

void WeightStoreLimiter::finishModelLoad()
{
    if (modelLoads_ > 0)
        --modelLoads_;
}

void WeightStoreLimiter::finishAdapterLoad()
{
    if (adapterLoads_ > 0)
        --adapterLoads_;
}

} // namespace boragerack::decisions
