#pragma once

#include "boragerack/core/Clock.h"

namespace boragerack::decisions {

/// Limits of the region's weight store.
struct WeightStoreLimits
{
    double modelLoadsPerSecond = 3;
    unsigned modelLoadsAtOnce = 4;
    unsigned adapterLoadsAtOnce = 32;

    friend bool operator==(const WeightStoreLimits &, const WeightStoreLimits &) = default;
};

/// Counts loads against the limits. The rate is a token bucket that holds one second's loads.
class WeightStoreLimiter
{
public:
    explicit WeightStoreLimiter(const WeightStoreLimits &limits);

    /// Take a place; the caller has checked that there is one.
    void startModelLoad(core::TimePoint now);
    void startAdapterLoad() { ++adapterLoads_; }
    void finishModelLoad();
    void finishAdapterLoad();

    bool hasAdapterRoom() const { return adapterLoads_ < limits_.adapterLoadsAtOnce; }
    bool hasModelRoom(core::TimePoint now) const;
    /// Earliest time at which the rate permits another model load.
    core::TimePoint nextModelLoad(core::TimePoint now) const;

private:
    double tokensAt(core::TimePoint now) const;

    WeightStoreLimits limits_;
    double tokens_;
    core::TimePoint refilledAt_ = {};
    unsigned modelLoads_ = 0;
    unsigned adapterLoads_ = 0;
};

} // namespace boragerack::decisions
