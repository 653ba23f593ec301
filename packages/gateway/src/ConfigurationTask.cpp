#include "ConfigurationTask.h"

#include <algorithm>
#include <utility>

#include "ReadDelay.h"
#include "boragerack/core/StoreVersion.h"
#include "boragerack/runtime/EventLog.h"
#include "boragerack/runtime/ExceptionBoundary.h"

namespace boragerack::gateway {

namespace {

/// Freshness proofs are renewed this many times within the maximum revocation delay, so that the
/// next call still completes in time if one is lost.
constexpr int kProofsPerRevocation = 12;
/// Proofs relayed by the coordinator are accepted up to this fraction of the maximum revocation
/// delay. A change must be in effect on all nodes within two seconds, so a node whose coordinator
/// hangs must read the platform itself well before that.
constexpr double kRelayMaxAgeFraction = 0.28;
constexpr std::size_t kMailboxCapacity = 16;
constexpr std::chrono::milliseconds kRelayPollInterval(100);
/// Time allowed for a request to reach its target after the freshness check.
constexpr std::chrono::milliseconds kSendMargin(200);

} // namespace

ConfigurationTask::ConfigurationTask(
    ServingSource &source, const core::Clock &clock, core::RandomSource &random,
    std::shared_ptr<const decisions::FreshnessMonitor::Binding> chart,
    std::chrono::milliseconds revocation)
    : source_(source)
    , clock_(clock)
    , random_(random)
    , freshness_(std::move(chart), {}, revocation - kSendMargin)
    , watchWait_(revocation / kProofsPerRevocation)
    , relayMaxAge_(
          std::chrono::duration_cast<std::chrono::milliseconds>(revocation * kRelayMaxAgeFraction))
    , mailbox_(kMailboxCapacity)
{
}

ConfigurationTask::~ConfigurationTask()
{
    shutDown();
}

void ConfigurationTask::shutDown()
{
    stop();
    if (fiber_.joinable())
        fiber_.join();
}

void ConfigurationTask::start(Listener listener, const ReadPaceSource &pace)
{
    listener_ = std::move(listener);
    pace_ = &pace;
    fiber_ = boost::fibers::fiber([this] { runtime::runTask("configuration", [this] { run(); }); });
}

void ConfigurationTask::stop()
{
    isRunning_ = false;
}

void ConfigurationTask::run()
{
    while (isRunning_) {
        while (const auto proof = mailbox_.tryReceive())
            handleRelayed(*proof);
        if (isRelayed()) {
            // The platform may have discarded the change history by the next read, so it starts
            // over.
            revision_ = 0;
            readAt_ = {};
            recordProof(relayed_.version, relayed_.provenAt);
        } else if (clock_.now() >= nextReadAt()) {
            readOnce();
            readAt_ = clock_.now();
            retryDelay_ = withJitter(pace_->pace().afterFailures(failures_), random_);
        }
        waitForRelay();
        const bool wasServing = freshness_.state() == decisions::FreshnessMonitor::State::Fresh;
        freshness_.handle(decisions::FreshnessMonitor::Tick(), clock_.now());
        if (wasServing && freshness_.state() != decisions::FreshnessMonitor::State::Fresh)
            runtime::logEvent(runtime::LogEvent::NodeIsolated, "reason=no_recent_proof");
    }
}

core::TimePoint ConfigurationTask::nextReadAt() const
{
    const decisions::PlatformReadPace pace = pace_->pace();
    if (failures_ == 0)
        return readAt_ + pace.afterSuccess();
    return readAt_ + std::min(retryDelay_, 2 * pace.afterFailures(failures_));
}

void ConfigurationTask::waitForRelay()
{
    const core::Duration untilRead = nextReadAt() - clock_.now();
    if (!isRelayed() && untilRead <= core::Duration(0))
        return;
    const core::Duration wait =
        isRelayed() ? kRelayPollInterval : std::min<core::Duration>(kRelayPollInterval, untilRead);
    if (const auto proof = mailbox_.receiveUntil(std::chrono::steady_clock::now() + wait))
        handleRelayed(*proof);
}

void ConfigurationTask::handleRelayed(const RelayedConfiguration &proof)
{
    relayed_ = {proof.version, proof.provenAt, {}};
    const std::uint64_t version = table_ ? table_->configuration().version : 0;
    if (proof.version <= version)
        return;
    if (!proof.text.empty())
        adoptRelayed(proof);
    else if (proof.version != readVersion_)
        readRelayedVersion();
}

void ConfigurationTask::readRelayedVersion()
{
    // The relayed proof covers the version, so the text may come from a read that proves nothing.
    // If that read returns an older version, the next one is current.
    readVersion_ = relayed_.version;
    readAt_ = {};
    const auto read = source_.readConfiguration(ReadMode::MayBeStale);
    if (!core::isOk(read) || !core::valueOf(read).configuration
        || core::valueOf(read).configuration->version < relayed_.version)
        return;
    text_ = core::valueOf(read).text;
    adopt(*core::valueOf(read).configuration, relayed_.provenAt);
}

void ConfigurationTask::adoptRelayed(const RelayedConfiguration &proof)
{
    auto configuration = source_.parseConfiguration(proof.text);
    if (!core::isOk(configuration)) {
        runtime::logEvent(runtime::LogEvent::ConfigurationRejected,
                          core::errorOf(configuration).message);
        return;
    }
    text_ = proof.text;
    adopt(core::valueOf(configuration), proof.provenAt);
}

void ConfigurationTask::adopt(const decisions::ServingConfiguration &configuration,
                              core::TimePoint provenAt)
{
    table_ = std::make_shared<const decisions::RouteTable>(configuration);
    freshness_.handle(decisions::FreshnessMonitor::VersionAccepted {configuration.version},
                      provenAt);
    runtime::logEvent(runtime::LogEvent::ConfigurationInEffect,
                      "version=" + std::to_string(configuration.version)
                          + " routes=" + std::to_string(configuration.routes.size()));
    listener_(table_);
}

bool ConfigurationTask::isRelayed() const
{
    return !pace_->isCoordinating() && table_ && relayed_.version == table_->configuration().version
        && clock_.now() - relayed_.provenAt < relayMaxAge_;
}

void ConfigurationTask::readOnce()
{
    const core::TimePoint sentAt = clock_.now();
    auto read = revision_ == 0
        ? source_.readConfiguration(ReadMode::Current)
        : source_.watchConfiguration(revision_,
                                     pace_->isCoordinating() ? watchWait_ / 2 : watchWait_);
    if (!core::isOk(read)) {
        handleReadFailure(core::errorOf(read));
    } else if (core::valueOf(read).isExpired) {
        runtime::logEvent(runtime::LogEvent::PlatformHistoryLost,
                          "list=configuration revision=" + std::to_string(revision_));
        revision_ = 0;
    } else {
        handleRead(core::valueOf(read), sentAt);
    }
}

void ConfigurationTask::handleRead(const ConfigurationRead &read, core::TimePoint sentAt)
{
    if (failures_ > 0)
        runtime::logEvent(runtime::LogEvent::PlatformAvailable,
                          "list=configuration failures=" + std::to_string(failures_));
    failures_ = 0;
    revision_ = read.revision;
    const std::uint64_t era = core::toStoreVersion(read.revision).era;
    if (std::exchange(era_, era) != era && firstRevision_ != 0)
        runtime::logEvent(runtime::LogEvent::PlatformRestored,
                          "list=configuration era=" + std::to_string(era));
    if (firstRevision_ == 0)
        firstRevision_ = read.revision;
    const std::uint64_t version = table_ ? table_->configuration().version : 0;
    // The version never decreases, even if a read returns an older one.
    if (read.configuration && read.configuration->version > version) {
        text_ = read.text;
        adopt(*read.configuration, sentAt);
    }
    if (table_)
        recordProof(table_->configuration().version, sentAt);
}

void ConfigurationTask::recordProof(std::uint64_t version, core::TimePoint provenAt)
{
    const bool wasServing = freshness_.state() == decisions::FreshnessMonitor::State::Fresh;
    freshness_.handle(
        decisions::FreshnessMonitor::ProofReceived {decisions::FreshnessProofKind::PlatformRead,
                                                    version, provenAt},
        clock_.now());
    if (!wasServing && freshness_.state() == decisions::FreshnessMonitor::State::Fresh)
        runtime::logEvent(runtime::LogEvent::NodeServing,
                          "version=" + std::to_string(table_->configuration().version));
}

void ConfigurationTask::handleReadFailure(const core::Error &error)
{
    if (failures_++ == 0)
        runtime::logEvent(runtime::LogEvent::PlatformUnavailable,
                          "list=configuration error=\"" + error.message + "\"");
}

} // namespace boragerack::gateway
