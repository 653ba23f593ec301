#include "LifecycleTask.h"

#include <utility>

#include "boragerack/runtime/EventLog.h"

namespace boragerack::node {

namespace lifecycle = decisions::lifecycle;

namespace {

constexpr std::size_t kMailboxCapacity = 8192;
/// The task has no other timer than those of the sequence.
constexpr std::chrono::hours kLongWait(1);

} // namespace

LifecycleTask::LifecycleTask(std::shared_ptr<const decisions::NodeBinding> chart,
                             std::chrono::milliseconds addressLifetime, const core::Clock &clock,
                             LifecycleListener &listener)
    : clock_(clock)
    , listener_(listener)
    , sequence_(std::move(chart), addressLifetime)
    , admission_(Admission {sequence_.admit(), true, false})
    , mailbox_(kMailboxCapacity)
{
}

void LifecycleTask::start()
{
    fibers_.start([this] { run(); });
}

bool LifecycleTask::send(const lifecycle::Event &event)
{
    return mailbox_.send(event);
}

void LifecycleTask::run()
{
    while (!sequence_.isFinished()) {
        const auto wakeAt = sequence_.nextTimer().value_or(clock_.now() + kLongWait);
        if (auto event = mailbox_.receiveUntil(wakeAt))
            feed(*event);
        else
            feed(lifecycle::TimerFired());
    }
    mailbox_.close();
    listener_.onStopped();
}

void LifecycleTask::feed(const lifecycle::Event &event)
{
    for (const decisions::NodeChartAction step : sequence_.handle(event, clock_.now()))
        perform(step);
    Admission admission {sequence_.admit(), isWithdrawn_, mustEndStreams_};
    if (admission != *admission_.get())
        admission_.set(std::move(admission));
}

void LifecycleTask::perform(decisions::NodeChartAction step)
{
    switch (step) {
    case decisions::NodeChartAction::PublishAddress:
        isWithdrawn_ = false;
        mustEndStreams_ = false;
        runtime::logEvent(runtime::LogEvent::NodeServing, "address is given to callers");
        break;
    case decisions::NodeChartAction::WithdrawAddress:
        isWithdrawn_ = true;
        if (sequence_.state() == decisions::NodeState::Withdrawn) {
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
        // The sequence keeps the timer, and requests follow the published admission.
        break;
    }
}

} // namespace boragerack::node
