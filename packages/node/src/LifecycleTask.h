#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <variant>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/NodeLifecycle.h"
#include "boragerack/runtime/FiberGroup.h"
#include "boragerack/runtime/Mailbox.h"
#include "boragerack/runtime/Published.h"

namespace boragerack::node {

/// Whether the node accepts requests, and the error to return if it does not.
struct Admission
{
    std::optional<core::Error> refusal;
    /// End of the admission period of a stopping node, which applies even before the lifecycle task
    /// has published the refusal.
    std::optional<core::TimePoint> endsAt;
    /// The address is no longer published to callers, but requests are still accepted.
    bool isAddressWithdrawn = false;
    /// Streams in progress must end, because their keys may have been revoked.
    bool mustEndStreams = false;

    std::optional<core::Error> refusalAt(core::TimePoint now) const;

    friend bool operator==(const Admission &, const Admission &) = default;
};

/// An event of the lifecycle and when it occurred; the task may handle it later.
struct TimedLifecycleEvent
{
    decisions::lifecycle::Event event;
    core::TimePoint at = {};

    friend bool operator==(const TimedLifecycleEvent &, const TimedLifecycleEvent &) = default;
};

/// Performs the steps of the node's lifecycle that involve other tasks.
class LifecycleListener
{
public:
    LifecycleListener() = default;
    LifecycleListener(const LifecycleListener &) = delete;
    LifecycleListener &operator=(const LifecycleListener &) = delete;
    virtual ~LifecycleListener() = default;

    /// A planned shutdown has begun; other nodes must no longer publish the address.
    virtual void onStopBegun() = 0;
    virtual void onReleaseShares() = 0;
    virtual void onRemoveRecord() = 0;
    virtual void onStopped() = 0;
};

/// Owns the lifecycle of the node: start, serving, isolation and graceful shutdown.
class LifecycleTask
{
public:
    LifecycleTask(std::shared_ptr<const decisions::NodeBinding> chart,
                  const decisions::StopTimes &stopTimes, const core::Clock &clock,
                  LifecycleListener &listener);

    void start();
    [[nodiscard]] bool send(const TimedLifecycleEvent &event);

    const runtime::Published<Admission> &admission() const { return admission_; }

private:
    void run();
    void handleEvent(const TimedLifecycleEvent &event);
    Admission makeAdmission() const;
    void perform(decisions::NodeChartAction step);

    const core::Clock &clock_;
    LifecycleListener &listener_;
    decisions::NodeLifecycle lifecycle_;
    bool isAddressWithdrawn_ = false;
    bool mustEndStreams_ = false;
    runtime::Published<Admission> admission_;
    runtime::Mailbox<TimedLifecycleEvent> mailbox_;
    runtime::FiberGroup fibers_;
};

} // namespace boragerack::node
