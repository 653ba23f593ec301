#include "boragerack/decisions/NodeLifecycle.h"

#include <utility>

namespace boragerack::decisions {

namespace {

constexpr std::chrono::milliseconds kIsolatedRetryAfter(1000);
/// Other nodes accept the request at once.
constexpr std::chrono::milliseconds kDrainingRetryAfter(200);

} // namespace

core::Error makeDrainingError()
{
    return core::makeNotRunError(core::ErrorCode::Draining, "the node is stopping",
                                 kDrainingRetryAfter);
}

NodeLifecycle::NodeLifecycle(std::shared_ptr<const NodeBinding> chart, const StopTimes &stopTimes)
    : chart_(std::move(chart))
    , stopTimes_(stopTimes)
{
}

std::vector<NodeLifecycle::Action> NodeLifecycle::handle(const Event &event, core::TimePoint at)
{
    std::vector<Action> actions;
    if (std::holds_alternative<lifecycle::ConfigurationLoaded>(event)) {
        fire(NodeChartEvent::ConfigurationLoaded, at, actions);
    } else if (std::holds_alternative<lifecycle::FreshnessLost>(event)) {
        fire(NodeChartEvent::FreshnessLost, at, actions);
    } else if (std::holds_alternative<lifecycle::FreshnessRegained>(event)) {
        fire(NodeChartEvent::FreshnessRegained, at, actions);
    } else if (std::holds_alternative<lifecycle::StopRequested>(event)) {
        stopRequestedAt_ = stopRequestedAt_.value_or(at);
        fire(NodeChartEvent::StopRequested, at, actions);
    } else if (std::holds_alternative<lifecycle::RequestStarted>(event)) {
        ++openRequests_;
    } else if (std::holds_alternative<lifecycle::RequestEnded>(event) && openRequests_ > 0) {
        --openRequests_;
    } else if (std::holds_alternative<lifecycle::TimerFired>(event) && timerAt_
               && at >= *timerAt_) {
        fire(NodeChartEvent::AddressLifetimeEnded, at, actions);
    }
    if (openRequests_ == 0)
        fire(NodeChartEvent::RequestsFinished, at, actions);
    return actions;
}

std::optional<core::Error> NodeLifecycle::admit(core::TimePoint now) const
{
    switch (state()) {
    case NodeState::Serving:
        return std::nullopt;
    case NodeState::Withdrawn:
        if (!timerAt_ || now < *timerAt_)
            return std::nullopt;
        break;
    case NodeState::Starting:
    case NodeState::Isolated:
        return core::makeNotRunError(core::ErrorCode::Isolated,
                                     "the node has no fresh configuration", kIsolatedRetryAfter);
    case NodeState::Draining:
    case NodeState::Stopped:
        break;
    }
    return makeDrainingError();
}

std::optional<core::Error> NodeLifecycle::admitDispatch(core::TimePoint now) const
{
    if (!stopRequestedAt_ || !stopTimes_.dispatch || now < *stopRequestedAt_ + *stopTimes_.dispatch)
        return std::nullopt;
    return makeDrainingError();
}

std::optional<core::TimePoint> NodeLifecycle::terminationTime() const
{
    if (!stopRequestedAt_ || !stopTimes_.termination)
        return std::nullopt;
    return *stopRequestedAt_ + *stopTimes_.termination;
}

void NodeLifecycle::fire(NodeChartEvent chartEvent, core::TimePoint at,
                         std::vector<Action> &actions)
{
    if (!chart_.accepts(chartEvent))
        return;
    timerAt_.reset();
    for (const NodeChartAction chartAction : chart_.fire(chartEvent)) {
        if (chartAction == NodeChartAction::StartAddressTimer)
            timerAt_ = at + stopTimes_.admission;
        actions.push_back(chartAction);
    }
}

} // namespace boragerack::decisions
