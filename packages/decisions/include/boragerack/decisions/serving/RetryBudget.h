#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

#include "boragerack/core/Clock.h"

namespace boragerack::decisions {

struct RetryLimits
{
    /// Retries of the fleet for each request of the callers, in any window.
    double ratio = 0.2;
    /// Retries of the fleet in a window beyond that.
    double slack = 10;
    std::chrono::milliseconds window = std::chrono::seconds(10);

    friend bool operator==(const RetryLimits &, const RetryLimits &) = default;
};

/// This node's part of the retries that the fleet may send to one service. Each node keeps to its
/// own part in every window, so the sum keeps to the limit without messages between nodes.
class RetryBudget
{
public:
    RetryBudget(const RetryLimits &limits, core::TimePoint startedAt);

    /// Nodes that share the slack. Nodes that the coordinator has lost still send retries, so the
    /// number does not fall again.
    void setNodes(std::uint32_t nodes);
    void countRequest(core::TimePoint now);
    /// Takes one retry; false if none is left.
    bool take(core::TimePoint now);

private:
    /// What happened in a part of the window.
    struct Slice
    {
        core::TimePoint start;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    Slice &sliceAt(core::TimePoint now);

    RetryLimits limits_;
    core::TimePoint startedAt_;
    /// Zero until the coordinator has told it.
    std::uint32_t nodes_ = 0;
    std::deque<Slice> slices_;
};

} // namespace boragerack::decisions
