#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

#include "boragerack/core/Clock.h"

namespace boragerack::decisions {

struct RetryLimits
{
    /// Retries of the fleet per caller request, in any window.
    double ratio = 0.2;
    /// Additional retries of the fleet in any window.
    double slack = 10;
    std::chrono::milliseconds window = std::chrono::seconds(10);

    friend bool operator==(const RetryLimits &, const RetryLimits &) = default;
};

/// Counts of the current window on this node.
struct RetryUsage
{
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
    double allowed = 0;

    friend bool operator==(const RetryUsage &, const RetryUsage &) = default;
};

/// This node's share of the retries that the fleet may send to one service. Each node stays within
/// its share in every window, so the fleet stays within the limit without messages between nodes.
/// A retry counts in the window in which it is sent, which may be seconds after its reservation.
class RetryBudget
{
public:
    RetryBudget(const RetryLimits &limits, core::TimePoint startedAt);

    /// Sets the number of nodes that share the slack. It never decreases, because nodes that the
    /// coordinator no longer receives reports from still send retries.
    void setNodes(std::uint32_t nodes);
    void countRequest(core::TimePoint now);
    /// Reserves a retry whose target has yet to be found; false if none is available.
    bool reserve(core::TimePoint now);
    /// Counts a reserved retry that is sent now. False if the limit has decreased in the meantime
    /// and the retry must not be sent. The reservation ends in both cases.
    bool commit(core::TimePoint now);
    /// Ends the reservation of a retry that is not sent.
    void release();
    RetryUsage usage(core::TimePoint now);

private:
    /// Counts of one part of the window.
    struct Slice
    {
        core::TimePoint start;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    /// The fraction of this node's share of the slack that has accrued. A process does not know the
    /// retries that its predecessors on the instance sent in the same window, so its share accrues
    /// over the first one.
    double accruedFraction(core::TimePoint now) const;
    Slice &sliceAt(core::TimePoint now);

    RetryLimits limits_;
    core::TimePoint startedAt_;
    /// Zero until set; no slack is available until then.
    std::uint32_t nodes_ = 0;
    std::deque<Slice> slices_;
    std::uint32_t reserved_ = 0;
};

} // namespace boragerack::decisions
