#include "ConfigurationTask.h"

#include <boost/fiber/operations.hpp>

#include "Backoff.h"
#include "boragerack/runtime/EventLog.h"

namespace boragerack::gateway {

namespace {

/// Proofs are renewed this many times within the time a withdrawn key may be used, so that one call
/// may be lost and its successor still arrives in time.
constexpr int kProofsPerRevocation = 12;
/// Proofs that the coordinator passes on are enough while they are not older than this part of the
/// time a withdrawn key may be used. A change must be in effect on all nodes within two seconds, so
/// a node whose coordinator hangs reads the platform itself well before.
constexpr double kRelayedPart = 0.28;
constexpr std::size_t kMailboxCapacity = 16;
constexpr std::chrono::milliseconds kRelayTick(100);
/// Time for a request to reach its target after the check.
constexpr std::chrono::milliseconds kSendMargin(200);

} // namespace

ConfigurationTask::ConfigurationTask(
    ServingSource &source, const core::Clock &clock,
    std::shared_ptr<const decisions::FreshnessMonitor::Binding> chart,
    std::chrono::milliseconds revocation)
    : source_(source)
    , clock_(clock)
    , freshness_(std::move(chart), {}, revocation - kSendMargin)
    , watchWait_(revocation / kProofsPerRevocation)
    , relayTrust_(std::chrono::duration_cast<std::chrono::milliseconds>(revocation * kRelayedPart))
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

void ConfigurationTask::start(Listener listener, IsReliedOn isReliedOn)
{
    listener_ = std::move(listener);
    isReliedOn_ = std::move(isReliedOn);
    fiber_ = boost::fibers::fiber([this] { run(); });
}

void ConfigurationTask::stop()
{
    isRunning_ = false;
}

void ConfigurationTask::run()
{
    while (isRunning_) {
        while (const auto proof = mailbox_.tryReceive())
            takeRelayed(*proof);
        if (isRelayed()) {
            // The history may be gone when this node reads the platform again.
            revision_ = 0;
            prove(relayed_.version, relayed_.provenAt);
            if (const auto proof =
                    mailbox_.receiveUntil(std::chrono::steady_clock::now() + kRelayTick))
                takeRelayed(*proof);
        } else {
            readOnce();
            if (failures_ > 0)
                boost::this_fiber::sleep_for(backoff(failures_));
        }
        const bool wasServing = freshness_.state() == decisions::FreshnessMonitor::State::Fresh;
        freshness_.handle(decisions::FreshnessMonitor::Tick(), clock_.now());
        if (wasServing && freshness_.state() != decisions::FreshnessMonitor::State::Fresh)
            runtime::logEvent(runtime::LogEvent::NodeIsolated, "reason=no_recent_proof");
    }
}

void ConfigurationTask::takeRelayed(const RelayedConfiguration &proof)
{
    relayed_ = {proof.version, proof.provenAt, {}};
    const std::uint64_t version = table_ ? table_->configuration().version : 0;
    if (proof.version > version && !proof.text.empty())
        adoptRelayed(proof);
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
    return table_ && relayed_.version == table_->configuration().version
        && clock_.now() - relayed_.provenAt < relayTrust_;
}

void ConfigurationTask::readOnce()
{
    const core::TimePoint sentAt = clock_.now();
    auto read = revision_ == 0
        ? source_.readConfiguration()
        : source_.watchConfiguration(revision_, isReliedOn_() ? watchWait_ / 2 : watchWait_);
    if (!core::isOk(read)) {
        fail(core::errorOf(read));
    } else if (core::valueOf(read).isExpired) {
        runtime::logEvent(runtime::LogEvent::PlatformHistoryLost,
                          "list=configuration revision=" + std::to_string(revision_));
        revision_ = 0;
    } else {
        accept(core::valueOf(read), sentAt);
    }
}

void ConfigurationTask::accept(const ConfigurationRead &read, core::TimePoint sentAt)
{
    if (failures_ > 0)
        runtime::logEvent(runtime::LogEvent::PlatformAvailable,
                          "list=configuration failures=" + std::to_string(failures_));
    failures_ = 0;
    revision_ = read.revision;
    if (firstRevision_ == 0)
        firstRevision_ = read.revision;
    const std::uint64_t version = table_ ? table_->configuration().version : 0;
    // A version never goes back, whatever a read returns.
    if (read.configuration && read.configuration->version > version) {
        text_ = read.text;
        adopt(*read.configuration, sentAt);
    }
    if (table_)
        prove(table_->configuration().version, sentAt);
}

void ConfigurationTask::prove(std::uint64_t version, core::TimePoint provenAt)
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

void ConfigurationTask::fail(const core::Error &error)
{
    if (failures_++ == 0)
        runtime::logEvent(runtime::LogEvent::PlatformUnavailable,
                          "list=configuration error=\"" + error.message + "\"");
}

} // namespace boragerack::gateway
