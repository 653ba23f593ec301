#pragma once

#include <functional>

#include <boost/fiber/fiber.hpp>

#include "ConfigurationTask.h"
#include "boragerack/decisions/NodeLifecycle.h"
#include "boragerack/runtime/Mailbox.h"

namespace boragerack::gateway {

/// Runs the lifecycle of the node: when it serves, and how it stops.
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

    /// `drain` is how long callers may still come after a stop was requested.
    LifecycleTask(std::shared_ptr<const decisions::NodeBinding> chart,
                  std::chrono::milliseconds drain, std::chrono::milliseconds stopTimeout,
                  const ConfigurationTask &configuration, const core::Clock &clock);
    ~LifecycleTask();

    /// `onWithdraw` is called when the node must leave the answers that callers are given.
    void start(std::function<void()> onWithdraw);
    [[nodiscard]] bool trySend(Message message) { return mailbox_.trySend(message); }
    void waitUntilStopped();

    std::optional<core::Error> admit() const { return sequence_.admit(); }
    bool isStopping() const { return isStopping_; }
    /// Requests that still wait are refused now, so that their refusals go out before the end.
    bool mustRefuseWaiting() const;
    /// The node serves and callers should come to it.
    bool isReady() const;

    void requestStarted();
    void requestEnded();

private:
    void run();
    void fire(const decisions::NodeLifecycle::Event &event);

    decisions::NodeLifecycle sequence_;
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
