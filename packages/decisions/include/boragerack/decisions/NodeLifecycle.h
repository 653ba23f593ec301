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
#include "boragerack/decisions/StopTimes.h"

namespace boragerack::decisions {

namespace lifecycle {

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

/// The node started to process a request that admit() allowed.
struct RequestStarted
{
    friend bool operator==(const RequestStarted &, const RequestStarted &) = default;
};

/// The last byte of a request's response was passed to the caller's connection, and its claim is
/// closed.
struct RequestEnded
{
    friend bool operator==(const RequestEnded &, const RequestEnded &) = default;
};

/// The time returned by `nextTimer()` was reached.
struct TimerFired
{
    friend bool operator==(const TimerFired &, const TimerFired &) = default;
};

using Event = std::variant<ConfigurationLoaded, FreshnessLost, FreshnessRegained, StopRequested,
                           RequestStarted, RequestEnded, TimerFired>;

} // namespace lifecycle

/// The error for a request that a stopping node does not accept.
core::Error makeDrainingError();

/// Decides when a node serves, when it stops serving because its configuration is stale, and when
/// it shuts down. A shutdown terminates no request: new requests are refused only after the
/// addresses that callers cached have expired, and the node waits for the requests in flight.
class NodeLifecycle
{
public:
    using Event = lifecycle::Event;
    /// The actions carry no values, so the actions of the chart are returned directly.
    using Action = NodeChartAction;

    NodeLifecycle(std::shared_ptr<const NodeBinding> chart, const StopTimes &stopTimes);

    /// `at` is the time of the event, which may be earlier than the time of the call.
    std::vector<Action> handle(const Event &event, core::TimePoint at);

    /// Returns the error for a new request, or nothing if the node admits it. The end of the
    /// admission period applies at once, even if TimerFired is handled late.
    std::optional<core::Error> admit(core::TimePoint now) const;
    /// Returns the error for an admitted request that no target has run, or nothing if it may be
    /// sent to a target.
    std::optional<core::Error> admitDispatch(core::TimePoint now) const;
    /// Time at which the process terminates; empty if it need not.
    std::optional<core::TimePoint> terminationTime() const;
    NodeState state() const { return chart_.state(); }
    bool isFinished() const { return chart_.isFinished(); }
    std::optional<core::TimePoint> nextTimer() const { return timerAt_; }

private:
    void fire(NodeChartEvent chartEvent, core::TimePoint at, std::vector<Action> &actions);

    charts::ChartInstance<NodeState, NodeChartEvent, NodeChartAction> chart_;
    StopTimes stopTimes_;
    std::optional<core::TimePoint> stopRequestedAt_;
    std::optional<core::TimePoint> timerAt_;
    std::uint64_t openRequests_ = 0;
};

} // namespace boragerack::decisions
