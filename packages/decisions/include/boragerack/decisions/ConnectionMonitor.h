#pragma once

#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "boragerack/charts/ChartInstance.h"
#include "boragerack/decisions/ConnectionChart.h"
#include "boragerack/decisions/ConnectionMessages.h"

namespace boragerack::decisions {

/// Watches one connection to a target. A connection without progress is compared with a new one:
/// if the new one works, it replaces the old one, and the requests of the old one are told.
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
    /// A connection under suspicion takes no new request.
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
    void on(const connection::TimerFired &event, Actions &actions);
    void on(const connection::Close &event, Actions &actions);

    void fire(ConnectionChartEvent trigger, Actions &actions);
    void perform(ConnectionChartAction step, Actions &actions);

    ConnectionLimits limits_;
    charts::ChartInstance<ConnectionState, ConnectionChartEvent, ConnectionChartAction> chart_;
    std::set<AttemptId> requests_;
    core::TimePoint now_;
    /// Last byte from the target, or the start of waiting for one.
    core::TimePoint progressAt_;
    /// Start of the limit that runs in the current state.
    core::TimePoint limitStart_;
    bool targetDied_ = false;
};

} // namespace boragerack::decisions
