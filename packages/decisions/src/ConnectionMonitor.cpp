#include "boragerack/decisions/ConnectionMonitor.h"

#include <utility>

namespace boragerack::decisions {

ConnectionMonitor::ConnectionMonitor(std::shared_ptr<const ConnectionBinding> chart,
                                     ConnectionLimits limits, core::TimePoint now)
    : limits_(limits)
    , chart_(std::move(chart))
    , now_(now)
    , progressAt_(now)
    , limitStart_(now)
{
}

std::vector<ConnectionMonitor::Action> ConnectionMonitor::handle(const Event &event,
                                                                 core::TimePoint now)
{
    now_ = now;
    Actions actions;
    std::visit([&](const auto &concrete) { on(concrete, actions); }, event);
    return actions;
}

bool ConnectionMonitor::canAssign() const
{
    return state() == ConnectionState::Opening || chart_.accepts(ConnectionChartEvent::Assigned);
}

std::optional<core::TimePoint> ConnectionMonitor::nextTimer() const
{
    switch (state()) {
    case ConnectionState::Opening:
        return limitStart_ + limits_.connect;
    case ConnectionState::Idle:
        return limitStart_ + limits_.idle;
    case ConnectionState::Busy:
        return limitStart_ + limits_.inactivity;
    case ConnectionState::Probing:
    case ConnectionState::ProbingAfterLoss:
        return limitStart_ + limits_.probe;
    case ConnectionState::Closed:
        break;
    }
    return std::nullopt;
}

void ConnectionMonitor::on(const connection::Opened &, Actions &actions)
{
    if (!chart_.accepts(ConnectionChartEvent::Opened))
        return;
    progressAt_ = now_;
    fire(ConnectionChartEvent::Opened, actions);
    if (!requests_.empty())
        fire(ConnectionChartEvent::Assigned, actions);
}

void ConnectionMonitor::on(const connection::ConnectFailed &, Actions &actions)
{
    fire(ConnectionChartEvent::ConnectFailed, actions);
}

void ConnectionMonitor::on(const connection::Assigned &event, Actions &actions)
{
    if (!canAssign()) {
        actions.emplace_back(connection::FailRequest {event.attempt, false});
        return;
    }
    // The silence of an idle connection says nothing; the time counts from the request.
    if (requests_.empty())
        progressAt_ = now_;
    requests_.insert(event.attempt);
    if (state() == ConnectionState::Idle)
        fire(ConnectionChartEvent::Assigned, actions);
}

void ConnectionMonitor::on(const connection::Progress &, Actions &actions)
{
    progressAt_ = now_;
    fire(ConnectionChartEvent::Progress, actions);
}

void ConnectionMonitor::on(const connection::RequestFinished &event, Actions &actions)
{
    // A death is reported for the requests that were open when the connection broke, even if their
    // callers have gone meanwhile.
    if (state() == ConnectionState::ProbingAfterLoss)
        return;
    if (requests_.erase(event.attempt) > 0 && requests_.empty())
        fire(ConnectionChartEvent::RequestsFinished, actions);
}

void ConnectionMonitor::on(const connection::Lost &, Actions &actions)
{
    fire(ConnectionChartEvent::Lost, actions);
}

void ConnectionMonitor::on(const connection::ProbeAnswered &event, Actions &actions)
{
    if (event.isWorking && now_ - progressAt_ < limits_.inactivityWhileWorking
        && chart_.accepts(ConnectionChartEvent::TargetWorking))
        fire(ConnectionChartEvent::TargetWorking, actions);
    else
        fire(ConnectionChartEvent::ProbeAnswered, actions);
}

void ConnectionMonitor::on(const connection::ProbeRefused &, Actions &actions)
{
    if (!chart_.accepts(ConnectionChartEvent::ProbeRefused))
        return;
    targetDied_ = true;
    fire(ConnectionChartEvent::ProbeRefused, actions);
}

void ConnectionMonitor::on(const connection::TimerFired &, Actions &actions)
{
    if (const auto limit = nextTimer(); !limit || now_ < *limit)
        return;
    // Each state accepts at most one of these.
    for (const ConnectionChartEvent trigger :
         {ConnectionChartEvent::InactivityTimeout, ConnectionChartEvent::ProbeTimeout,
          ConnectionChartEvent::IdleTimeout}) {
        if (chart_.accepts(trigger)) {
            fire(trigger, actions);
            return;
        }
    }
}

void ConnectionMonitor::on(const connection::Close &, Actions &actions)
{
    fire(ConnectionChartEvent::Close, actions);
    requests_.clear();
}

void ConnectionMonitor::fire(ConnectionChartEvent trigger, Actions &actions)
{
    if (!chart_.accepts(trigger))
        return;
    const bool wasProbing = state() == ConnectionState::Probing;
    for (const ConnectionChartAction step : chart_.fire(trigger))
        perform(step, actions);
    // A probe that runs already keeps its time when the old connection breaks.
    if (!(wasProbing && state() == ConnectionState::ProbingAfterLoss))
        limitStart_ = now_;
}

void ConnectionMonitor::perform(ConnectionChartAction step, Actions &actions)
{
    switch (step) {
    case ConnectionChartAction::CloseConnection:
        actions.emplace_back(connection::CloseConnection {});
        break;
    case ConnectionChartAction::FailRequests:
        for (const AttemptId &request : std::exchange(requests_, {}))
            actions.emplace_back(connection::FailRequest {request, targetDied_});
        break;
    case ConnectionChartAction::ReportUnreachableTarget:
        actions.emplace_back(connection::ReportUnreachableTarget {});
        break;
    case ConnectionChartAction::ReportTargetCrash:
        actions.emplace_back(connection::ReportTargetCrash {{requests_.begin(), requests_.end()}});
        break;
    case ConnectionChartAction::OpenProbe:
        actions.emplace_back(connection::OpenProbe {});
        break;
    case ConnectionChartAction::CancelProbe:
        actions.emplace_back(connection::CancelProbe {});
        break;
    case ConnectionChartAction::AdoptProbe:
        actions.emplace_back(connection::AdoptProbe {});
        break;
    }
}

} // namespace boragerack::decisions
