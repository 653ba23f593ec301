#include "LifecycleTask.h"

#include <utility>

#include "boragerack/runtime/EventLog.h"
#include "boragerack/runtime/ExceptionBoundary.h"

namespace boragerack::node {

namespace lifecycle = decisions::lifecycle;

namespace {

constexpr std::size_t kMailboxCapacity = 8192;
/// Wait if the lifecycle has no timer set; the task has no other timers.
constexpr std::chrono::hours kIdleWait(1);

} // namespace

std::optional<core::Error> Admission::refusalAt(core::TimePoint now) const
{
    if (!refusal && endsAt && now >= *endsAt)
        return decisions::makeDrainingError();
    return refusal;
}

LifecycleTask::LifecycleTask(std::shared_ptr<const decisions::NodeBinding> chart,
                             const decisions::StopTimes &stopTimes, const core::Clock &clock,
                             LifecycleListener &listener)
    : clock_(clock)
    , listener_(listener)
    , lifecycle_(std::move(chart), stopTimes)
    , admission_(Admission {lifecycle_.admit(clock.now()), std::nullopt, true, false})
    , mailbox_(kMailboxCapacity)
{
}

void LifecycleTask::start()
{
    fibers_.start([this] { runtime::runTask("lifecycle", [this] { run(); }); });
}

bool LifecycleTask::send(const TimedLifecycleEvent &event)
{
    return mailbox_.send(event);
}

void LifecycleTask::run()
{
    while (!lifecycle_.isFinished()) {
        const auto wakeUpTime = lifecycle_.nextTimer().value_or(clock_.now() + kIdleWait);
        if (auto event = mailbox_.receiveUntil(wakeUpTime))
            handleEvent(*event);
        else
            handleEvent({lifecycle::TimerFired(), clock_.now()});
    }
    mailbox_.close();
    listener_.onStopped();
}

Admission LifecycleTask::makeAdmission() const
{
    return {lifecycle_.admit(clock_.now()), lifecycle_.nextTimer(), isAddressWithdrawn_,
            mustEndStreams_};
}

void LifecycleTask::handleEvent(const TimedLifecycleEvent &event)
{
    for (const decisions::NodeChartAction step : lifecycle_.handle(event.event, event.at))
        perform(step);
    if (Admission admission = makeAdmission(); admission != *admission_.get())
        admission_.set(std::move(admission));
}

void LifecycleTask::perform(decisions::NodeChartAction step)
{
    switch (step) {
    case decisions::NodeChartAction::PublishAddress:
        isAddressWithdrawn_ = false;
        mustEndStreams_ = false;
        runtime::logEvent(runtime::LogEvent::NodeServing, "address is published to callers");
        break;
    case decisions::NodeChartAction::WithdrawAddress:
        isAddressWithdrawn_ = true;
        if (lifecycle_.state() == decisions::NodeState::Withdrawn) {
            runtime::logEvent(runtime::LogEvent::NodeDraining, "address is withdrawn");
            listener_.onStopBegun();
        }
        break;
    case decisions::NodeChartAction::EndStreams:
        mustEndStreams_ = true;
        runtime::logEvent(runtime::LogEvent::NodeIsolated, "no fresh configuration");
        break;
    case decisions::NodeChartAction::ReleaseShares:
        listener_.onReleaseShares();
        break;
    case decisions::NodeChartAction::RemoveNodeRecord:
        listener_.onRemoveRecord();
        break;
    case decisions::NodeChartAction::StartAddressTimer:
    case decisions::NodeChartAction::RefuseQueued:
    case decisions::NodeChartAction::RefuseNewRequests:
        // The lifecycle object owns the timer, and requests use the published admission.
        break;
    }
}

} // namespace boragerack::node
