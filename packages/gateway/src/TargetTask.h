#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/fiber/fiber.hpp>

#include "ReadPaceSource.h"
#include "boragerack/core/Clock.h"
#include "boragerack/core/RandomSource.h"
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
        /// Time up to which the entries include all changes.
        core::TimePoint contentAt = {};
    };
    /// Called for each change, and for each platform response without a change. False if the update
    /// was not accepted; it is then sent again.
    using Listener = std::function<bool(const Update &)>;

    /// `maxEvacuationDelay` is the time in which an evacuation must take effect; with zero,
    /// evacuations are not read.
    TargetTask(ServingSource &source, const core::Clock &clock, core::RandomSource &random,
               std::chrono::milliseconds maxEvacuationDelay = {});
    ~TargetTask();

    /// `pace` must outlive the task.
    void start(Listener listener, const ReadPaceSource &pace);
    void stop() { isRunning_ = false; }
    /// Stops and waits until the task has ended.
    void shutDown();
    [[nodiscard]] bool trySend(decisions::targets::Relayed targets)
    {
        return mailbox_.trySend(std::move(targets));
    }

private:
    void run();
    void handleMessages();
    bool isRelayed() const;
    /// Depends on the role of the node, which may become the coordinator while it waits.
    core::TimePoint nextReadAt() const;
    bool readOnce();
    /// False if the evacuations could not be read.
    bool readEvacuations();
    void handleFailure(std::string_view list, const core::Error &error);
    bool handleRelayed(const decisions::targets::Relayed &relayed);
    void publish(bool isChanged, bool hasReplicas);
    void notifyListener();
    void logSource(bool isRelayed);
    void logEvacuations(const decisions::TargetEntries &next) const;
    std::string describeSource(bool hasReplicas) const;
    void logReturns(bool hasReplicas);
    void logDepartures(const decisions::TargetEntries &next, bool hasReplicas) const;

    ServingSource &source_;
    const core::Clock &clock_;
    core::RandomSource &random_;
    std::chrono::milliseconds maxEvacuationDelay_;
    core::TimePoint evacuationsReadAt_ = {};
    decisions::TargetDirectory directory_;
    Listener listener_;
    const ReadPaceSource *pace_ = nullptr;
    TargetEntriesPointer published_;
    bool hasReplicas_ = true;
    bool isAccepted_ = true;
    std::uint64_t revision_ = 0;
    /// Era of the platform's store at the last read, or before it at the term of the first relayed
    /// list; empty before both.
    std::optional<std::uint64_t> era_;
    runtime::Mailbox<decisions::targets::Relayed> mailbox_;
    /// Time up to which the last relayed list includes all changes.
    core::TimePoint relayedAt_ = {};
    core::TimePoint startedAt_ = {};
    /// When the last read ended.
    core::TimePoint lastReadAt_ = {};
    /// Delay with jitter after the last failure.
    std::chrono::milliseconds retryDelay_ = {};
    std::uint32_t failures_ = 0;
    bool isUsingRelay_ = false;
    bool isRunning_ = true;
    boost::fibers::fiber fiber_;
};

} // namespace boragerack::gateway
