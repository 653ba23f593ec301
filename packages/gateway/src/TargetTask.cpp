#include "TargetTask.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "ReadDelay.h"
#include "boragerack/core/StoreVersion.h"
#include "boragerack/runtime/EventLog.h"
#include "boragerack/runtime/ExceptionBoundary.h"

namespace boragerack::gateway {

namespace {

/// Maximum duration of a watch; heartbeats of the targets usually end it much earlier.
constexpr std::chrono::milliseconds kWatchWait(1500);
/// The duration on the coordinator. Its list is relayed with the age of the last answered call,
/// which must stay below the maximum age while no target writes.
constexpr std::chrono::milliseconds kUrgentWatchWait(200);
/// Delay between reads, which limits the calls to the platform because targets write continuously.
/// The departure of a target must be known within two seconds; this delay takes about a quarter.
constexpr std::chrono::milliseconds kReadDelay(450);
/// The delay on the coordinator, which relays the list; the relay adds up to a second.
constexpr std::chrono::milliseconds kUrgentReadDelay(200);
/// Maximum age at which a list relayed by the coordinator replaces reading the platform.
constexpr std::chrono::milliseconds kRelayMaxAge(1400);
constexpr std::chrono::milliseconds kRelayPollInterval(100);
/// The evacuations are read again after this fraction of the time in which they must take effect.
/// The remaining time is for the relays, and for a node that loses its relay and reads the list
/// itself.
constexpr int kEvacuationReadDivisor = 10;
constexpr std::size_t kMailboxCapacity = 16;

std::string ageText(core::TimePoint now, core::TimePoint contentAt)
{
    if (contentAt == core::TimePoint())
        return "unknown";
    return std::to_string(std::chrono::floor<std::chrono::milliseconds>(now - contentAt).count());
}

} // namespace

TargetTask::TargetTask(ServingSource &source, const core::Clock &clock, core::RandomSource &random,
                       std::chrono::milliseconds maxEvacuationDelay)
    : source_(source)
    , clock_(clock)
    , random_(random)
    , maxEvacuationDelay_(maxEvacuationDelay)
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

void TargetTask::start(Listener listener, const ReadPaceSource &pace)
{
    listener_ = std::move(listener);
    pace_ = &pace;
    startedAt_ = clock_.now();
    fiber_ = boost::fibers::fiber([this] { runtime::runTask("targets", [this] { run(); }); });
}

void TargetTask::run()
{
    while (isRunning_) {
        handleMessages();
        if (!isAccepted_)
            notifyListener();
        logSource(isRelayed());
        const core::TimePoint now = clock_.now();
        if (!isRelayed() && now >= nextReadAt() && now >= startedAt_ + pace_->pace().startDelay()) {
            const bool isWholeList = revision_ == 0;
            const bool isNew = readOnce();
            if (failures_ == 0)
                publish(isNew || isWholeList, true);
            lastReadAt_ = clock_.now();
            retryDelay_ = withJitter(pace_->pace().afterFailures(failures_), random_);
        }
        const core::Duration untilRead = nextReadAt() - clock_.now();
        const core::Duration wait = untilRead > core::Duration(0) && !isRelayed()
            ? std::min<core::Duration>(kRelayPollInterval, untilRead)
            : kRelayPollInterval;
        if (const auto relayed = mailbox_.receiveUntil(std::chrono::steady_clock::now() + wait);
            relayed && handleRelayed(*relayed))
            publish(true, false);
    }
}

void TargetTask::handleMessages()
{
    bool isChanged = false;
    while (const auto relayed = mailbox_.tryReceive())
        isChanged = handleRelayed(*relayed) || isChanged;
    if (isChanged)
        publish(true, false);
    if (directory_.handle(decisions::targets::Tick(), clock_.now()))
        publish(true, hasReplicas_);
}

bool TargetTask::isRelayed() const
{
    // A list that this node has read may be more recent than the relayed one, which then serves as
    // its successor.
    const core::TimePoint oldest = clock_.now() - kRelayMaxAge;
    return relayedAt_ > oldest && directory_.contentAt() > oldest && !pace_->isCoordinating();
}

core::TimePoint TargetTask::nextReadAt() const
{
    const decisions::PlatformReadPace pace = pace_->pace();
    if (failures_ > 0)
        return lastReadAt_ + std::min(retryDelay_, 2 * pace.afterFailures(failures_));
    return lastReadAt_
        + std::max(pace_->isCoordinating() ? kUrgentReadDelay : kReadDelay, pace.afterSuccess());
}

bool TargetTask::handleRelayed(const decisions::targets::Relayed &relayed)
{
    if (!relayed.entries && !directory_.canConfirm(relayed.version))
        return false;
    relayedAt_ = std::max(relayedAt_, relayed.contentAt);
    // The term is a version of the store, so the first read of this node shows a restore since.
    if (!era_)
        era_ = core::toStoreVersion(relayed.version.term).era;
    const bool isChanged = directory_.handle(relayed, clock_.now());
    // The changes since the last own read do not apply to a relayed list.
    if (directory_.isRelayed())
        revision_ = 0;
    return isChanged;
}

void TargetTask::publish(bool isChanged, bool hasReplicas)
{
    if (isChanged) {
        logDepartures(directory_.entries(), hasReplicas);
        logReturns(hasReplicas);
        logEvacuations(directory_.entries());
        published_ = std::make_shared<const decisions::TargetEntries>(directory_.entries());
    }
    hasReplicas_ = hasReplicas;
    notifyListener();
}

void TargetTask::notifyListener()
{
    isAccepted_ = listener_({published_, hasReplicas_, directory_.contentAt()});
}

void TargetTask::logSource(bool isRelayed)
{
    if (std::exchange(isUsingRelay_, isRelayed) == isRelayed)
        return;
    runtime::logEvent(runtime::LogEvent::TargetListSourceChanged,
                      std::string("source=") + (isRelayed ? "coordinator" : "platform")
                          + " age_ms=" + ageText(clock_.now(), directory_.contentAt()));
}

std::string TargetTask::describeSource(bool hasReplicas) const
{
    return std::string(" source=") + (hasReplicas ? "platform" : "coordinator")
        + " age_ms=" + ageText(clock_.now(), directory_.contentAt());
}

void TargetTask::logReturns(bool hasReplicas)
{
    for (const decisions::TargetProcess &process : directory_.takeReturned())
        runtime::logEvent(runtime::LogEvent::TargetReturned,
                          "target=" + process.target.value + describeSource(hasReplicas));
}

void TargetTask::logDepartures(const decisions::TargetEntries &next, bool hasReplicas) const
{
    const std::string details = describeSource(hasReplicas);
    for (const auto &[target, entry] : *published_) {
        const auto position = next.find(target);
        if (position == next.end())
            runtime::logEvent(runtime::LogEvent::TargetLeaving,
                              "target=" + target.value + " change=removed" + details);
        else if (position->second.isLeaving && !entry.isLeaving)
            runtime::logEvent(runtime::LogEvent::TargetLeaving,
                              "target=" + target.value + " change=announced" + details);
        else if (position->second.isUnconfirmed && !entry.isUnconfirmed)
            runtime::logEvent(runtime::LogEvent::TargetLeaving,
                              "target=" + target.value + " change=unconfirmed" + details);
    }
}

void TargetTask::logEvacuations(const decisions::TargetEntries &next) const
{
    const auto evacuatedOf = [](const decisions::TargetEntries &entries) {
        std::map<core::DataCentreId, std::size_t> targets;
        for (const auto &[target, entry] : entries) {
            if (entry.isEvacuated)
                ++targets[entry.dataCentre];
        }
        return targets;
    };
    const auto before = evacuatedOf(*published_);
    const auto after = evacuatedOf(next);
    const auto logMissing = [this](const auto &from, const auto &in, runtime::LogEvent event) {
        for (const auto &[dataCentre, targets] : from) {
            if (!in.contains(dataCentre))
                runtime::logEvent(event,
                                  "data_centre=" + dataCentre.value
                                      + " targets=" + std::to_string(targets)
                                      + " age_ms=" + ageText(clock_.now(), directory_.contentAt()));
        }
    };
    logMissing(after, before, runtime::LogEvent::DataCentreEvacuated);
    logMissing(before, after, runtime::LogEvent::DataCentreReturned);
}

void TargetTask::handleFailure(std::string_view list, const core::Error &error)
{
    if (failures_++ == 0)
        runtime::logEvent(runtime::LogEvent::PlatformUnavailable,
                          "list=" + std::string(list) + " error=\"" + error.message + "\"");
    directory_.handle(decisions::targets::PlatformFailed(), clock_.now());
}

bool TargetTask::readEvacuations()
{
    const core::TimePoint sentAt = clock_.now();
    if (maxEvacuationDelay_.count() == 0
        || (evacuationsReadAt_ != core::TimePoint()
            && sentAt - evacuationsReadAt_ < maxEvacuationDelay_ / kEvacuationReadDivisor))
        return true;
    auto read = source_.listEvacuations();
    if (!core::isOk(read)) {
        handleFailure("evacuations", core::errorOf(read));
        return false;
    }
    evacuationsReadAt_ = sentAt;
    // Published at once, because the read of the targets that follows may fail.
    if (directory_.handle(decisions::targets::EvacuationsListed {core::takeValue(std::move(read))},
                          clock_.now()))
        publish(true, hasReplicas_);
    return true;
}

bool TargetTask::readOnce()
{
    if (!readEvacuations())
        return false;
    const auto wait = pace_->isCoordinating() ? kUrgentWatchWait : kWatchWait;
    const core::TimePoint sentAt = clock_.now();
    const auto read =
        revision_ == 0 ? source_.listTargets() : source_.watchTargets(revision_, wait);
    const core::TimePoint now = clock_.now();
    if (!core::isOk(read)) {
        handleFailure("targets", core::errorOf(read));
        // Changes may have been missed, so run() publishes nothing.
        return false;
    }
    if (failures_ > 0)
        runtime::logEvent(runtime::LogEvent::PlatformAvailable,
                          "list=targets failures=" + std::to_string(failures_));
    failures_ = 0;
    const TargetsRead &targets = core::valueOf(read);
    if (targets.isExpired) {
        runtime::logEvent(runtime::LogEvent::PlatformHistoryLost,
                          "list=targets revision=" + std::to_string(revision_));
        revision_ = 0;
        return false;
    }
    revision_ = targets.revision;
    const std::uint64_t era = core::toStoreVersion(targets.revision).era;
    if (const auto before = std::exchange(era_, era); before && *before != era) {
        runtime::logEvent(runtime::LogEvent::PlatformRestored,
                          "list=targets era=" + std::to_string(era));
        directory_.handle(decisions::targets::PlatformRestored(), now);
    }
    bool isChanged = false;
    for (const decisions::targets::Event &event : targets.events)
        isChanged = directory_.handle(event, now) || isChanged;
    directory_.handle(decisions::targets::Confirmed {sentAt}, now);
    return isChanged;
}

} // namespace boragerack::gateway
