#include "LifecycleTask.h"

#include <algorithm>

#include "boragerack/runtime/EventLog.h"
#include "boragerack/runtime/ExceptionBoundary.h"

namespace boragerack::gateway {

namespace {

constexpr std::size_t kMailboxCapacity = 64;
/// Maximum delay until the end of the last request is noticed.
constexpr std::chrono::milliseconds kTick(100);

} // namespace

LifecycleTask::LifecycleTask(std::shared_ptr<const decisions::NodeBinding> chart,
                             const decisions::StopTimes &stopTimes,
                             const ConfigurationTask &configuration, const core::Clock &clock)
    : lifecycle_(std::move(chart), stopTimes)
    , configuration_(configuration)
    , clock_(clock)
    , mailbox_(kMailboxCapacity)
{
}

LifecycleTask::~LifecycleTask()
{
    mailbox_.close();
    if (fiber_.joinable())
        fiber_.join();
}

void LifecycleTask::start(std::function<void()> onWithdraw)
{
    onWithdraw_ = std::move(onWithdraw);
    fiber_ = boost::fibers::fiber([this] { runtime::runTask("lifecycle", [this] { run(); }); });
}

void LifecycleTask::waitUntilStopped()
{
    if (fiber_.joinable())
        fiber_.join();
}

bool LifecycleTask::isReady() const
{
    return lifecycle_.state() == decisions::NodeState::Serving && configuration_.mayServe();
}

void LifecycleTask::requestStarted()
{
    handleEvent(decisions::lifecycle::RequestStarted(), clock_.now());
}

void LifecycleTask::requestEnded()
{
    handleEvent(decisions::lifecycle::RequestEnded(), clock_.now());
}

void LifecycleTask::run()
{
    while (!lifecycle_.isFinished() && !mailbox_.isClosed()) {
        const auto message = mailbox_.receiveUntil(nextWakeUp());
        if (const auto *stop = message ? std::get_if<StopRequested>(&*message) : nullptr) {
            isStopping_ = true;
            runtime::logEvent(runtime::LogEvent::NodeDraining, "reason=signal");
            handleEvent(decisions::lifecycle::StopRequested(), stop->at);
        } else if (message) {
            handleEvent(decisions::lifecycle::ConfigurationLoaded(), clock_.now());
        }
        const core::TimePoint now = clock_.now();
        handleEvent(decisions::lifecycle::TimerFired(), now);
        // Returns before the process is killed, because an orderly shutdown closes the connections.
        if (const auto termination = lifecycle_.terminationTime();
            termination && now >= *termination)
            break;
    }
    // Releases the task that announces configurations.
    mailbox_.close();
}

core::TimePoint LifecycleTask::nextWakeUp() const
{
    core::Duration wait = kTick;
    if (const auto timer = lifecycle_.nextTimer())
        wait = std::clamp<core::Duration>(*timer - clock_.now(), core::Duration::zero(), kTick);
    return std::chrono::steady_clock::now() + wait;
}

void LifecycleTask::handleEvent(const decisions::NodeLifecycle::Event &event, core::TimePoint at)
{
    for (const decisions::NodeChartAction step : lifecycle_.handle(event, at)) {
        if (step == decisions::NodeChartAction::WithdrawAddress)
            onWithdraw_();
    }
}

} // namespace boragerack::gateway
