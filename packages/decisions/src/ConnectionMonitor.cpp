#include "boragerack/decisions/ConnectionMonitor.h"

#include <utility>

namespace boragerack::decisions {

ConnectionMonitor::ConnectionMonitor(std::shared_ptr<const ConnectionBinding> chart,
                                     ConnectionLimits limits, core::TimePoint now)
    : limits_(limits)
    , chart_(std::move(chart))
    , now_(now)
    , lastProgressAt_(now)
    , timerStart_(now)
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
        return timerStart_ + limits_.connect;
    case ConnectionState::Idle:
        return timerStart_ + limits_.idle;
    case ConnectionState::Busy:
        return timerStart_ + limits_.inactivity;
    case ConnectionState::Probing:
    case ConnectionState::ProbingAfterLoss:
        return timerStart_ + limits_.probe;
    case ConnectionState::Closed:
        break;
    }
    return std::nullopt;
}

void ConnectionMonitor::on(const connection::Opened &, Actions &actions)
{
    if (!chart_.accepts(ConnectionChartEvent::Opened))
        return;
    lastProgressAt_ = now_;
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
    // An idle connection receives no data, so inactivity is measured from the first request.
    if (requests_.empty())
        lastProgressAt_ = now_;
    requests_.insert(event.attempt);
    if (state() == ConnectionState::Idle)
        fire(ConnectionChartEvent::Assigned, actions);
}

void ConnectionMonitor::on(const connection::Progress &, Actions &actions)
{
    lastProgressAt_ = now_;
    fire(ConnectionChartEvent::Progress, actions);
}

void ConnectionMonitor::on(const connection::RequestFinished &event, Actions &actions)
{
    // A crash is reported for all requests that were open when the connection was lost, even if
    // their callers have disconnected since.
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
    if (event.isWorking && now_ - lastProgressAt_ < limits_.inactivityWhileWorking
        && chart_.accepts(ConnectionChartEvent::TargetWorking))
        fire(ConnectionChartEvent::TargetWorking, actions);
    else
        fire(ConnectionChartEvent::ProbeAnswered, actions);
}

void ConnectionMonitor::on(const connection::ProbeRefused &, Actions &actions)
{
    if (!chart_.accepts(ConnectionChartEvent::ProbeRefused))
        return;
    targetCrashed_ = true;
    fire(ConnectionChartEvent::ProbeRefused, actions);
}

void ConnectionMonitor::on(const connection::ProbeLost &, Actions &actions)
{
    fire(ConnectionChartEvent::ProbeLost, actions);
}

void ConnectionMonitor::on(const connection::TimerFired &, Actions &actions)
{
    if (const auto limit = nextTimer(); !limit || now_ < *limit)
        return;
    // Each state accepts at most one of these.
    for (const ConnectionChartEvent event :
         {ConnectionChartEvent::InactivityTimeout, ConnectionChartEvent::ProbeTimeout,
          ConnectionChartEvent::IdleTimeout}) {
        if (chart_.accepts(event)) {
            fire(event, actions);
            return;
        }
    }
}

void ConnectionMonitor::on(const connection::Close &, Actions &actions)
{
    fire(ConnectionChartEvent::Close, actions);
    requests_.clear();
}

bool ConnectionMonitor::isProbing() const
{
    return state() == ConnectionState::Probing || state() == ConnectionState::ProbingAfterLoss;
}

void ConnectionMonitor::fire(ConnectionChartEvent event, Actions &actions)
{
    if (!chart_.accepts(event))
        return;
    const bool wasProbing = isProbing();
    for (const ConnectionChartAction action : chart_.fire(event))
        perform(action, actions);
    // The time limit of a probe holds also when the old connection is lost and for repeated probes.
    if (!(wasProbing && isProbing()))
        timerStart_ = now_;
}

void ConnectionMonitor::perform(ConnectionChartAction action, Actions &actions)
{
    switch (action) {
    case ConnectionChartAction::CloseConnection:
        actions.emplace_back(connection::CloseConnection {});
        break;
    case ConnectionChartAction::FailRequests:
        for (const AttemptId &request : std::exchange(requests_, {}))
            actions.emplace_back(connection::FailRequest {request, targetCrashed_});
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
