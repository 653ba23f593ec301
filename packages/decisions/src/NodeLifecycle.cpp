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
        ++requests_;
    else if (std::holds_alternative<lifecycle::RequestEnded>(event) && requests_ > 0)
        --requests_;
    else if (std::holds_alternative<lifecycle::TimerFired>(event) && wakeAt_ && now >= *wakeAt_)
        fire(NodeChartEvent::AddressLifetimeEnded, now, actions);
    if (requests_ == 0)
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

void NodeLifecycle::fire(NodeChartEvent trigger, core::TimePoint now, std::vector<Action> &actions)
{
    if (!chart_.accepts(trigger))
        return;
    wakeAt_.reset();
    for (const NodeChartAction step : chart_.fire(trigger)) {
        if (step == NodeChartAction::StartAddressTimer)
            wakeAt_ = now + addressLifetime_;
        actions.push_back(step);
    }
}

} // namespace boragerack::decisions
