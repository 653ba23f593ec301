#pragma once

#include <functional>

#include <boost/fiber/fiber.hpp>

#include "ConfigurationTask.h"
#include "boragerack/decisions/NodeLifecycle.h"
#include "boragerack/runtime/Mailbox.h"

namespace boragerack::gateway {

/// Runs the lifecycle of the node: start-up, serving, draining and stop.
class LifecycleTask
{
public:
    struct StopRequested
    {
        core::TimePoint at = {};
    };
    struct ConfigurationArrived
    {
    };
    using Message = std::variant<StopRequested, ConfigurationArrived>;

    LifecycleTask(std::shared_ptr<const decisions::NodeBinding> chart,
                  const decisions::StopTimes &stopTimes, const ConfigurationTask &configuration,
                  const core::Clock &clock);
    ~LifecycleTask();

    /// `onWithdraw` is called when the node must no longer be returned in address answers.
    void start(std::function<void()> onWithdraw);
    [[nodiscard]] bool trySend(Message message) { return mailbox_.trySend(message); }
    /// Waits for space in the mailbox; returns false if the task has ended.
    [[nodiscard]] bool send(Message message) { return mailbox_.send(message); }
    void waitUntilStopped();

    std::optional<core::Error> admit() const { return lifecycle_.admit(clock_.now()); }
    /// Returns the error for a request that no target has run, or nothing if it may be sent now.
    std::optional<core::Error> admitDispatch() const
    {
        return lifecycle_.admitDispatch(clock_.now());
    }
    bool isStopping() const { return isStopping_; }
    /// Whether the node is serving and accepts new callers.
    bool isReady() const;

    void requestStarted();
    void requestEnded();

private:
    void run();
    void handleEvent(const decisions::NodeLifecycle::Event &event, core::TimePoint at);
    core::TimePoint nextWakeUp() const;

    decisions::NodeLifecycle lifecycle_;
    const ConfigurationTask &configuration_;
    const core::Clock &clock_;
    std::function<void()> onWithdraw_;
    runtime::Mailbox<Message> mailbox_;
    bool isStopping_ = false;
    boost::fibers::fiber fiber_;
};

} // namespace boragerack::gateway
