#pragma once

#include <cstdint>

#include "boragerack/core/Clock.h"

namespace boragerack::decisions {

struct RetryLimits
{
    /// Retries of the fleet for each request of the callers, in any window.
    double ratio = 0.2;
    /// Retries of the fleet in a window beyond that.
    double slack = 10;
    /// Nodes that share the slack.
    std::uint32_t nodes = 1;

    friend bool operator==(const RetryLimits &, const RetryLimits &) = default;
};

/// This node's part of the retries that the fleet may send to one service. Each node keeps to its
/// own part, so the sum keeps to the limit without messages between nodes.
class RetryAllowance
{
public:
    explicit RetryAllowance(const RetryLimits &limits);

    void setLimits(const RetryLimits &limits);
    void countRequest();
    /// Takes one retry; false if none is left.
    bool take();
    bool isEmpty() const { return level_ < 1; }

private:
    double cap() const;

    RetryLimits limits_;
    double level_;
};

} // namespace boragerack::decisions
