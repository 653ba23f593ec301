#include "TargetTask.h"

#include <algorithm>

#include <boost/fiber/operations.hpp>

#include "Backoff.h"
#include "boragerack/runtime/EventLog.h"

namespace boragerack::gateway {

namespace {

/// Upper bound of a watch; heartbeats of the targets end it much earlier.
constexpr std::chrono::milliseconds kWatchWait(1500);
/// Each call has a price, and targets write all the time. A departure must be known within two
/// seconds, of which this pause takes a quarter.
constexpr std::chrono::milliseconds kPause(450);
/// The coordinator passes the list on, which takes up to a second more.
constexpr std::chrono::milliseconds kUrgentPause(200);
/// The list of the coordinator is enough while it is not older than this.
constexpr std::chrono::milliseconds kRelayTrust(1400);
constexpr std::chrono::milliseconds kRelayTick(100);
constexpr std::size_t kMailboxCapacity = 16;

} // namespace

TargetTask::TargetTask(ServingSource &source, const core::Clock &clock)
    : source_(source)
    , clock_(clock)
    , published_(std::make_shared<const decisions::TargetEntries>())
    , mailbox_(kMailboxCapacity)
{
}

TargetTask::~TargetTask()
{
    shutDown();
}

void TargetTask::shutDown()
{
    stop();
    if (fiber_.joinable())
        fiber_.join();
}

void TargetTask::start(Listener listener, IsUrgent isUrgent)
{
    listener_ = std::move(listener);
    isUrgent_ = std::move(isUrgent);
    fiber_ = boost::fibers::fiber([this] { run(); });
}

void TargetTask::run()
{
    while (isRunning_) {
        bool isChanged = false;
        while (const auto relayed = mailbox_.tryReceive())
            isChanged = take(*relayed) || isChanged;
        if (isChanged)
            publish(true, false);
        if (clock_.now() - relayedAt_ < kRelayTrust && !isUrgent_()) {
            // The history may be gone when this node reads the platform again.
            revision_ = 0;
            if (const auto relayed =
                    mailbox_.receiveUntil(std::chrono::steady_clock::now() + kRelayTick);
                relayed && take(*relayed))
                publish(true, false);
            continue;
        }
        const bool isWholeList = revision_ == 0;
        const bool isNew = readOnce();
        if (failures_ == 0)
            publish(isNew || isWholeList, true);
        if (failures_ > 0)
            boost::this_fiber::sleep_for(backoff(failures_));
        else
            boost::this_fiber::sleep_for(isUrgent_() ? kUrgentPause : kPause);
    }
}

bool TargetTask::take(const RelayedTargets &relayed)
{
    relayedAt_ = std::max(relayedAt_, relayed.readAt);
    return relayed.entries
        && directory_.handle(decisions::targets::Listed {*relayed.entries}, clock_.now());
}

void TargetTask::publish(bool isChanged, bool hasReplicas)
{
    if (isChanged)
        published_ = std::make_shared<const decisions::TargetEntries>(directory_.entries());
    listener_({published_, hasReplicas, readAt_});
}

bool TargetTask::readOnce()
{
    const auto read =
        revision_ == 0 ? source_.listTargets() : source_.watchTargets(revision_, kWatchWait);
    const core::TimePoint now = clock_.now();
    if (!core::isOk(read)) {
        if (failures_++ == 0)
            runtime::logEvent(runtime::LogEvent::PlatformUnavailable,
                              "list=targets error=\"" + core::errorOf(read).message + "\"");
        directory_.handle(decisions::targets::PlatformFailed(), now);
        // Changes may have been missed by a call that broke off.
        return false;
    }
    if (failures_ > 0)
        runtime::logEvent(runtime::LogEvent::PlatformAvailable,
                          "list=targets failures=" + std::to_string(failures_));
    failures_ = 0;
    readAt_ = now;
    const TargetsRead &targets = core::valueOf(read);
    if (targets.isExpired) {
        runtime::logEvent(runtime::LogEvent::PlatformHistoryLost,
                          "list=targets revision=" + std::to_string(revision_));
        revision_ = 0;
        return false;
    }
    revision_ = targets.revision;
    bool isChanged = directory_.handle(decisions::targets::Tick(), now);
    for (const decisions::targets::Event &event : targets.events)
        isChanged = directory_.handle(event, now) || isChanged;
    return isChanged;
}

} // namespace boragerack::gateway
