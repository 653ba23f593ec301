#include "boragerack/decisions/NodeLifecycle.h"

#include <utility>

namespace boragerack::decisions {

namespace {

constexpr std::chrono::milliseconds kRetryAfter(1000);

} // namespace

NodeLifecycle::NodeLifecycle(std::shared_ptr<const NodeBinding> chart,
                             std::chrono::milliseconds addressLifetime)
    : chart_(std::move(chart))
    , addressLifetime_(addressLifetime)
{
}

std::vector<NodeLifecycle::Action> NodeLifecycle::handle(const Event &event, core::TimePoint now)
{
    std::vector<Action> actions;
    if (std::holds_alternative<lifecycle::ConfigurationLoaded>(event))
        fire(NodeChartEvent::ConfigurationLoaded, now, actions);
    else if (std::holds_alternative<lifecycle::FreshnessLost>(event))
        fire(NodeChartEvent::FreshnessLost, now, actions);
    else if (std::holds_alternative<lifecycle::FreshnessRegained>(event))
        fire(NodeChartEvent::FreshnessRegained, now, actions);
    else if (std::holds_alternative<lifecycle::StopRequested>(event))
        fire(NodeChartEvent::StopRequested, now, actions);
    else if (std::holds_alternative<lifecycle::RequestStarted>(event))
        ++openRequests_;
    else if (std::holds_alternative<lifecycle::RequestEnded>(event) && openRequests_ > 0)
        --openRequests_;
    else if (std::holds_alternative<lifecycle::TimerFired>(event) && timerAt_ && now >= *timerAt_)
        fire(NodeChartEvent::AddressLifetimeEnded, now, actions);
    if (openRequests_ == 0)
        fire(NodeChartEvent::RequestsFinished, now, actions);
    return actions;
}

std::optional<core::Error> NodeLifecycle::admit() const
{
    switch (state()) {
    case NodeState::Serving:
    case NodeState::Withdrawn:
        return std::nullopt;
    case NodeState::Starting:
    case NodeState::Isolated:
        return core::makeNotRunError(core::ErrorCode::Isolated,
                                     "the node has no fresh configuration", kRetryAfter);
    case NodeState::Draining:
    case NodeState::Stopped:
        break;
    }
    return core::makeNotRunError(core::ErrorCode::Draining, "the node is stopping", kRetryAfter);
}

void NodeLifecycle::fire(NodeChartEvent chartEvent, core::TimePoint now,
                         std::vector<Action> &actions)
{
    if (!chart_.accepts(chartEvent))
        return;
    timerAt_.reset();
    for (const NodeChartAction chartAction : chart_.fire(chartEvent)) {
        if (chartAction == NodeChartAction::StartAddressTimer)
            timerAt_ = now + addressLifetime_;
        actions.push_back(chartAction);
    }
}

} // namespace boragerack::decisions
