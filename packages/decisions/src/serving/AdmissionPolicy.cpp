#include "boragerack/decisions/serving/AdmissionPolicy.h"

#include <algorithm>

#include "boragerack/core/RandomSource.h"

namespace boragerack::decisions {

namespace {

/// A caller that returns sooner meets the same backlog.
constexpr std::chrono::milliseconds kMinRetryAfter(100);
/// Callers wait for at most this part of the time that they have left.
constexpr int kTimeLeftDivisor = 3;
constexpr std::uint64_t kSpreadSteps = 1024;

} // namespace

AdmissionPolicy::AdmissionPolicy(core::RandomSource &random)
    : random_(random)
{
}

std::optional<std::chrono::milliseconds> AdmissionPolicy::refuse(const AdmissionForecast &forecast)
{
    if (forecast.drain + forecast.firstPiece <= forecast.timeLeft)
        return std::nullopt;
    return retryAfter(forecast);
}

std::chrono::milliseconds AdmissionPolicy::retryAfter(const AdmissionForecast &forecast)
{
    // A factor of 1 to 1.5.
    const double factor =
        1 + static_cast<double>(random_.next() % kSpreadSteps) / (2.0 * kSpreadSteps);
    const auto longest = std::max(
        kMinRetryAfter,
        std::chrono::floor<std::chrono::milliseconds>(forecast.timeLeft / kTimeLeftDivisor));
    const double drainMs =
        std::chrono::duration<double, std::milli>(forecast.drain).count() * factor;
    const double bounded = std::clamp(drainMs, static_cast<double>(kMinRetryAfter.count()),
                                      static_cast<double>(longest.count()));
    return std::chrono::milliseconds(static_cast<std::chrono::milliseconds::rep>(bounded));
}

} // namespace boragerack::decisions
