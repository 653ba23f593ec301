#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "boragerack/charts/ChartInstance.h"
#include "boragerack/core/Clock.h"
#include "boragerack/core/Error.h"
#include "boragerack/decisions/NodeChart.h"

namespace boragerack::decisions {

namespace lifecycle {

// Events.

/// A configuration is in effect and fresh.
struct ConfigurationLoaded
{
    friend bool operator==(const ConfigurationLoaded &, const ConfigurationLoaded &) = default;
};

struct FreshnessLost
{
    friend bool operator==(const FreshnessLost &, const FreshnessLost &) = default;
};

struct FreshnessRegained
{
    friend bool operator==(const FreshnessRegained &, const FreshnessRegained &) = default;
};

struct StopRequested
{
    friend bool operator==(const StopRequested &, const StopRequested &) = default;
};

/// A request that admit() allowed has been taken.
struct RequestStarted
{
    friend bool operator==(const RequestStarted &, const RequestStarted &) = default;
};

/// Its last byte has been handed to the caller's connection, and its claim is closed.
struct RequestEnded
{
    friend bool operator==(const RequestEnded &, const RequestEnded &) = default;
};

/// The time of `nextTimer()` has come.
struct TimerFired
{
    friend bool operator==(const TimerFired &, const TimerFired &) = default;
};

using Event = std::variant<ConfigurationLoaded, FreshnessLost, FreshnessRegained, StopRequested,
                           RequestStarted, RequestEnded, TimerFired>;

} // namespace lifecycle

/// Decides when a node serves, stops serving for want of fresh configuration, and stops for good.
/// A stop ends no request: new ones are refused only after the lifetime of the addresses that
/// callers hold, and the node waits for all requests that it has taken.
class NodeLifecycle
{
public:
    using Event = lifecycle::Event;
    /// The actions carry no values, so the steps of the chart are given out as they are.
    using Action = NodeChartAction;

    /// `addressLifetime` is how long callers keep an answer of `/v1/addresses`.
    NodeLifecycle(std::shared_ptr<const NodeBinding> chart,
                  std::chrono::milliseconds addressLifetime);

    std::vector<Action> handle(const Event &event, core::TimePoint now);

    /// The refusal of a new request; nothing if the node takes it.
    std::optional<core::Error> admit() const;
    NodeState state() const { return chart_.state(); }
    bool isFinished() const { return chart_.isFinished(); }
    std::optional<core::TimePoint> nextTimer() const { return wakeAt_; }

private:
    void fire(NodeChartEvent trigger, core::TimePoint now, std::vector<Action> &actions);

    charts::ChartInstance<NodeState, NodeChartEvent, NodeChartAction> chart_;
    std::chrono::milliseconds addressLifetime_;
    std::optional<core::TimePoint> wakeAt_;
    std::uint64_t requests_ = 0;
};

} // namespace boragerack::decisions
