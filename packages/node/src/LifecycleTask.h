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

/// Whether the node takes requests, and the refusal if it does not.
struct Admission
{
    std::optional<core::Error> refusal;
    /// Callers are not given the address any more, though requests are still taken.
    bool isAddressWithdrawn = false;
    /// Streams in progress end, because their keys may have been withdrawn.
    bool mustEndStreams = false;

    friend bool operator==(const Admission &, const Admission &) = default;
};

/// Carries out the steps of the node's lifecycle that concern other tasks.
class LifecycleListener
{
public:
    LifecycleListener() = default;
    LifecycleListener(const LifecycleListener &) = delete;
    LifecycleListener &operator=(const LifecycleListener &) = delete;
    virtual ~LifecycleListener() = default;

    /// A planned stop has begun; other nodes must not give out the address any more.
    virtual void onStopBegun() = 0;
    virtual void onReleaseShares() = 0;
    virtual void onRemoveRecord() = 0;
    virtual void onStopped() = 0;
};

/// Owns the lifecycle of the node: start, serving, isolation and graceful stop.
class LifecycleTask
{
public:
    LifecycleTask(std::shared_ptr<const decisions::NodeBinding> chart,
                  std::chrono::milliseconds addressLifetime, const core::Clock &clock,
                  LifecycleListener &listener);

    void start();
    [[nodiscard]] bool send(const decisions::lifecycle::Event &event);

    const runtime::Published<Admission> &admission() const { return admission_; }

private:
    void run();
    void feed(const decisions::lifecycle::Event &event);
    void perform(decisions::NodeChartAction step);

    const core::Clock &clock_;
    LifecycleListener &listener_;
    decisions::NodeLifecycle sequence_;
    bool isWithdrawn_ = false;
    bool mustEndStreams_ = false;
    runtime::Published<Admission> admission_;
    runtime::Mailbox<decisions::lifecycle::Event> mailbox_;
    runtime::FiberGroup fibers_;
};

} // namespace boragerack::node
