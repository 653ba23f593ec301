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
    };
    struct ConfigurationArrived
    {
    };
    using Message = std::variant<StopRequested, ConfigurationArrived>;

    /// `drain` is how long new requests are still accepted after a stop was requested.
    LifecycleTask(std::shared_ptr<const decisions::NodeBinding> chart,
                  std::chrono::milliseconds drain, std::chrono::milliseconds stopTimeout,
                  const ConfigurationTask &configuration, const core::Clock &clock);
    ~LifecycleTask();

    /// `onWithdraw` is called when the node must no longer be returned in address answers.
    void start(std::function<void()> onWithdraw);
    [[nodiscard]] bool trySend(Message message) { return mailbox_.trySend(message); }
    void waitUntilStopped();

    std::optional<core::Error> admit() const { return lifecycle_.admit(); }
    bool isStopping() const { return isStopping_; }
    /// Whether waiting requests must be refused now, so that the refusals are sent before the
    /// process terminates.
    bool mustRefuseWaiting() const;
    /// Whether the node is serving and accepts new callers.
    bool isReady() const;

    void requestStarted();
    void requestEnded();

private:
    void run();
    void handleEvent(const decisions::NodeLifecycle::Event &event);

    decisions::NodeLifecycle lifecycle_;
    std::chrono::milliseconds stopTimeout_;
    const ConfigurationTask &configuration_;
    const core::Clock &clock_;
    std::function<void()> onWithdraw_;
    runtime::Mailbox<Message> mailbox_;
    bool isStopping_ = false;
    core::TimePoint stopAt_ = {};
    boost::fibers::fiber fiber_;
};

} // namespace boragerack::gateway
