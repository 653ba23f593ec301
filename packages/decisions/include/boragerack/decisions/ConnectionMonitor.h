#pragma once

#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "boragerack/charts/ChartInstance.h"
#include "boragerack/decisions/ConnectionChart.h"
#include "boragerack/decisions/ConnectionMessages.h"

namespace boragerack::decisions {

/// Detects the failure of one connection to a target. If the connection makes no progress, a probe
/// opens a second one; if that one works, it replaces the first, whose requests then fail.
class ConnectionMonitor
{
public:
    using Event = connection::Event;
    using Action = connection::Action;

    ConnectionMonitor(std::shared_ptr<const ConnectionBinding> chart, ConnectionLimits limits,
                      core::TimePoint now);

    std::vector<Action> handle(const Event &event, core::TimePoint now);

    ConnectionState state() const { return chart_.state(); }
    bool isFinished() const { return chart_.isFinished(); }
    /// False while the connection is being probed and after it has been closed.
    bool canAssign() const;
    std::optional<core::TimePoint> nextTimer() const;

private:
    using Actions = std::vector<Action>;

    void on(const connection::Opened &event, Actions &actions);
    void on(const connection::ConnectFailed &event, Actions &actions);
    void on(const connection::Assigned &event, Actions &actions);
    void on(const connection::Progress &event, Actions &actions);
    void on(const connection::RequestFinished &event, Actions &actions);
    void on(const connection::Lost &event, Actions &actions);
    void on(const connection::ProbeAnswered &event, Actions &actions);
    void on(const connection::ProbeRefused &event, Actions &actions);
    void on(const connection::ProbeLost &event, Actions &actions);
    void on(const connection::TimerFired &event, Actions &actions);
    void on(const connection::Close &event, Actions &actions);

    bool isProbing() const;
    void fire(ConnectionChartEvent event, Actions &actions);
    void perform(ConnectionChartAction action, Actions &actions);

    ConnectionLimits limits_;
    charts::ChartInstance<ConnectionState, ConnectionChartEvent, ConnectionChartAction> chart_;
    std::set<AttemptId> requests_;
    core::TimePoint now_;
    /// Time of the last byte from the target, or of the start of the wait for one.
    core::TimePoint lastProgressAt_;
    /// Start of the time limit that applies in the current state.
    core::TimePoint timerStart_;
    bool targetCrashed_ = false;
};

} // namespace boragerack::decisions
