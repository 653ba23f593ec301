#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <boost/fiber/fiber.hpp>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/serving/TargetDirectory.h"
#include "boragerack/gateway/ServingSource.h"
#include "boragerack/runtime/Mailbox.h"

namespace boragerack::gateway {

using TargetEntriesPointer = std::shared_ptr<const decisions::TargetEntries>;

/// Watches the list of targets.
class TargetTask
{
public:
    struct Update
    {
        TargetEntriesPointer entries;
        /// Whether the entries list the replicas of the targets.
        bool hasReplicas = true;
        /// When the platform returned these entries.
        core::TimePoint readAt = {};
    };
    /// Called for each change, and for each platform response without a change.
    using Listener = std::function<void(const Update &)>;

    /// A list read by the coordinator; no entries if unchanged since its previous message.
    struct RelayedTargets
    {
        std::optional<std::vector<decisions::TargetEntry>> entries;
        core::TimePoint readAt = {};
    };
    /// Whether the node needs changes immediately; otherwise they are read in batches.
    using IsUrgent = std::function<bool()>;

    TargetTask(ServingSource &source, const core::Clock &clock);
    ~TargetTask();

    void start(Listener listener, IsUrgent isUrgent);
    void stop() { isRunning_ = false; }
    /// Stops and waits until the task has ended.
    void shutDown();
    [[nodiscard]] bool trySend(RelayedTargets targets)
    {
        return mailbox_.trySend(std::move(targets));
    }

private:
    void run();
    bool readOnce();
    bool handleRelayed(const RelayedTargets &relayed);
    void publish(bool isChanged, bool hasReplicas);

    ServingSource &source_;
    const core::Clock &clock_;
    decisions::TargetDirectory directory_;
    Listener listener_;
    IsUrgent isUrgent_;
    TargetEntriesPointer published_;
    std::uint64_t revision_ = 0;
    runtime::Mailbox<RelayedTargets> mailbox_;
    core::TimePoint relayedAt_ = {};
    core::TimePoint readAt_ = {};
    std::uint32_t failures_ = 0;
    bool isRunning_ = true;
    boost::fibers::fiber fiber_;
};

} // namespace boragerack::gateway
