#include "boragerack/decisions/TargetRates.h"

namespace boragerack::decisions {

namespace {

/// Permits of this time, and one more so that rates below one request in this time are granted too.
constexpr double kCapacitySeconds = 0.5;

} // namespace

double permitCapacity(double requestsPerSecond)
{
    return 1 + requestsPerSecond * kCapacitySeconds;
}

} // namespace boragerack::decisions
