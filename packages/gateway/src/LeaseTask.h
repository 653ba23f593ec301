#pragma once

#include <functional>
#include <string>
#include <utility>

#include <boost/fiber/fiber.hpp>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Result.h"
#include "boragerack/decisions/serving/CoordinatorLease.h"
#include "boragerack/platform/PlatformStore.h"
#include "boragerack/runtime/Mailbox.h"

namespace boragerack::gateway {

/// Acquires, renews or watches the coordinator lease in the platform's store.
class LeaseTask
{
public:
    using CoordinatorAnswered = decisions::lease::CoordinatorAnswered;
    /// The node is going to stop; it keeps a held lease until then.
    struct AnnounceStop
    {
    };
    using HolderReported = decisions::lease::HolderReported;
    using NodesCounted = decisions::lease::NodesCounted;
    struct Stop
    {
    };
    using Message =
        std::variant<CoordinatorAnswered, HolderReported, NodesCounted, AnnounceStop, Stop>;

    /// `clock` must include time during which the machine is suspended. All references must outlive
    /// the task.
    LeaseTask(platform::PlatformStore &store, const core::Clock &clock,
              std::shared_ptr<const decisions::CoordinatorBinding> chart,
              const decisions::LeaseRecord &self, const decisions::LeaseTimes &times);
    ~LeaseTask();

    void start();
    [[nodiscard]] bool trySend(Message message) { return mailbox_.trySend(std::move(message)); }
    /// Releases the lease if this node holds it, and stops the task.
    void stop();
    /// Stops and waits until the task has ended.
    void shutDown();

    /// Current at any time, also between two messages.
    const decisions::CoordinatorLease &lease() const { return lease_; }
    bool mayOrder() const { return lease_.mayOrder(clock_.now()); }
    bool isHolding() const { return lease_.isHolding(clock_.now()); }

private:
    void run();
    void handle(const decisions::lease::Event &event);
    void perform(const decisions::lease::Read &action);
    void perform(const decisions::lease::Write &action);
    void logTerm(bool hadTerm);

    platform::PlatformStore &store_;
    const core::Clock &clock_;
    decisions::CoordinatorLease lease_;
    runtime::Mailbox<Message> mailbox_;
    bool isRunning_ = true;
    boost::fibers::fiber fiber_;
};

} // namespace boragerack::gateway
