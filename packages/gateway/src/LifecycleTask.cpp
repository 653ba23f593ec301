#include "LifecycleTask.h"

#include "boragerack/runtime/EventLog.h"

namespace boragerack::gateway {

namespace {

constexpr std::size_t kMailboxCapacity = 64;
constexpr std::chrono::milliseconds kTick(100);
/// Waiting requests are refused this long before the process terminates.
constexpr std::chrono::milliseconds kRefusalMargin(800);

} // namespace

LifecycleTask::LifecycleTask(std::shared_ptr<const decisions::NodeBinding> chart,
                             std::chrono::milliseconds drain, std::chrono::milliseconds stopTimeout,
                             const ConfigurationTask &configuration, const core::Clock &clock)
    : lifecycle_(std::move(chart), drain)
    , stopTimeout_(stopTimeout)
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
    fiber_ = boost::fibers::fiber([this] { run(); });
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

bool LifecycleTask::mustRefuseWaiting() const
{
    return isStopping_ && clock_.now() >= stopAt_ - kRefusalMargin;
}

void LifecycleTask::requestStarted()
{
    handleEvent(decisions::lifecycle::RequestStarted());
}

void LifecycleTask::requestEnded()
{
    handleEvent(decisions::lifecycle::RequestEnded());
}

void LifecycleTask::run()
{
    while (!lifecycle_.isFinished() && !mailbox_.isClosed()) {
        const auto message = mailbox_.receiveUntil(std::chrono::steady_clock::now() + kTick);
        if (message && std::holds_alternative<StopRequested>(*message)) {
            isStopping_ = true;
            stopAt_ = clock_.now() + stopTimeout_;
            runtime::logEvent(runtime::LogEvent::NodeDraining, "reason=signal");
            handleEvent(decisions::lifecycle::StopRequested());
        } else if (message) {
            handleEvent(decisions::lifecycle::ConfigurationLoaded());
        }
        handleEvent(decisions::lifecycle::TimerFired());
        // Returns before the process is killed, because an orderly shutdown closes the connections.
        if (isStopping_ && clock_.now() >= stopAt_)
            return;
    }
}

void LifecycleTask::handleEvent(const decisions::NodeLifecycle::Event &event)
{
    for (const decisions::NodeChartAction step : lifecycle_.handle(event, clock_.now())) {
        if (step == decisions::NodeChartAction::WithdrawAddress)
            onWithdraw_();
    }
}

} // namespace boragerack::gateway
