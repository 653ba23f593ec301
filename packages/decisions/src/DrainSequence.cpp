#include "boragerack/decisions/DrainSequence.h"

#include <utility>

namespace boragerack::decisions {

namespace {

constexpr std::chrono::milliseconds kRetryAfter(1000);

} // namespace

DrainSequence::DrainSequence(std::shared_ptr<const NodeBinding> chart,
                             std::chrono::milliseconds addressLifetime)
    : chart_(std::move(chart))
    , addressLifetime_(addressLifetime)
{
}

std::vector<DrainSequence::Action> DrainSequence::handle(const Event &event, core::TimePoint now)
{
    std::vector<Action> actions;
    if (std::holds_alternative<drain::ConfigurationLoaded>(event))
        fire(NodeTrigger::ConfigurationLoaded, now, actions);
    else if (std::holds_alternative<drain::FreshnessLost>(event))
        fire(NodeTrigger::FreshnessLost, now, actions);
    else if (std::holds_alternative<drain::FreshnessRegained>(event))
        fire(NodeTrigger::FreshnessRegained, now, actions);
    else if (std::holds_alternative<drain::StopRequested>(event))
        fire(NodeTrigger::StopRequested, now, actions);
    else if (std::holds_alternative<drain::RequestStarted>(event))
        ++requests_;
    else if (std::holds_alternative<drain::RequestEnded>(event) && requests_ > 0)
        --requests_;
    else if (std::holds_alternative<drain::TimerFired>(event) && wakeAt_ && now >= *wakeAt_)
        fire(NodeTrigger::AddressLifetimeEnded, now, actions);
    if (requests_ == 0)
        fire(NodeTrigger::RequestsFinished, now, actions);
    return actions;
}

std::optional<core::Error> DrainSequence::admit() const
{
    switch (state()) {
    case NodeState::Serving:
    case NodeState::Withdrawn:
        return std::nullopt;
    case NodeState::Starting:
    case NodeState::Isolated:
        return core::makeNotRunError(core::ErrorCode::Isolated,
                                     "the node has no fresh configuration", kRetryAfter);
    case NodeState::Finishing:
    case NodeState::Stopped:
        break;
    }
    return core::makeNotRunError(core::ErrorCode::Draining, "the node is stopping", kRetryAfter);
}

void DrainSequence::fire(NodeTrigger trigger, core::TimePoint now, std::vector<Action> &actions)
{
    if (!chart_.accepts(trigger))
        return;
    wakeAt_.reset();
    for (const NodeStep step : chart_.fire(trigger)) {
        if (step == NodeStep::StartAddressTimer)
            wakeAt_ = now + addressLifetime_;
        actions.push_back(step);
    }
}

} // namespace boragerack::decisions
