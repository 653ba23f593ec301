#pragma once

#include "boragerack/core/Clock.h"

namespace boragerack::decisions {

/// Load limits of the region's weight store.
struct WeightStoreLimits
{
    double modelLoadsPerSecond = 3;
    unsigned modelLoadsAtOnce = 4;
    unsigned adapterLoadsAtOnce = 32;

    friend bool operator==(const WeightStoreLimits &, const WeightStoreLimits &) = default;
};

/// Limits the number and rate of loads from the weight store. The rate limiter is a token bucket
/// with a capacity of one second's loads, and of at least one load.
class WeightStoreLimiter
{
public:
    explicit WeightStoreLimiter(const WeightStoreLimits &limits);

    /// The caller must have checked hasModelRoom().
    void startModelLoad(core::TimePoint now);
    /// The caller must have checked hasAdapterRoom().
    void startAdapterLoad() { ++adapterLoads_; }
    void finishModelLoad();
    void finishAdapterLoad();

    bool hasAdapterRoom() const { return adapterLoads_ < limits_.adapterLoadsAtOnce; }
    /// Whether both the number of running model loads and the rate permit another one.
    bool hasModelRoom(core::TimePoint now) const;
    /// Earliest time at which the rate permits another model load.
    core::TimePoint nextModelLoad(core::TimePoint now) const;

private:
    double tokensAt(core::TimePoint now) const;

    WeightStoreLimits limits_;
    double tokens_;
    core::TimePoint lastRefillAt_ = {};
    unsigned modelLoads_ = 0;
    unsigned adapterLoads_ = 0;
};

} // namespace boragerack::decisions
