#include "boragerack/node/Node.h"

#include <chrono>
#include <fstream>
#include <iterator>
#include <optional>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "CallerHandler.h"
#include "EvacuationMonitor.h"
#include "PeerDispatcher.h"
#include "PeerMessenger.h"
#include "boragerack/config/NodeSettings.h"
#include "boragerack/core/SystemRandomSource.h"
#include "boragerack/peer/MessageAuthenticator.h"
#include "boragerack/peer/PeerServer.h"
#include "boragerack/platform/HttpPlatformStore.h"
#include "boragerack/runtime/ByteBudget.h"
#include "boragerack/runtime/EventLog.h"
#include "boragerack/runtime/ExceptionBoundary.h"
#include "boragerack/runtime/FiberRuntime.h"
#include "boragerack/runtime/HttpServer.h"

namespace boragerack::node {

namespace {

constexpr std::chrono::milliseconds kPollInterval(1000);
constexpr std::chrono::milliseconds kPeerTimeout(1000);

std::string formatAddress(const config::SocketAddress &address)
{
    return address.host + ":" + std::to_string(address.port);
}

/// Uses wall-clock time, in microseconds, which increases from one start of an instance to the
/// next.
std::uint64_t makeIncarnation()
{
    return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch()
                                      / std::chrono::microseconds(1));
}

runtime::HttpLimits makeLimits(const config::NodeSettings &settings)
{
    runtime::HttpLimits limits;
    limits.maxHeaderBytes = static_cast<std::size_t>(settings.maxHeaderBytes);
    limits.maxBodyBytes = static_cast<std::size_t>(settings.maxBodyBytes);
    limits.maxConnections = static_cast<std::size_t>(settings.maxCallerConnections);
    return limits;
}

/// Lists the artifacts that any plan permits, with their memory in MiB, and the evacuations.
decisions::CatalogueAccepted listArtifacts(const decisions::Catalogue &catalogue)
{
    std::map<decisions::Artifact, std::uint64_t> memory;
    for (const decisions::Plan &plan : catalogue.contents().plans) {
        for (const decisions::ModelPermission &model : plan.models) {
            const decisions::Artifact base {model.model, model.version, {}};
            memory[base] = static_cast<std::uint64_t>(model.memoryMiB);
            for (const decisions::AdapterPermission &adapter : model.adapters)
                memory[{model.model, model.version, adapter.adapter}] =
                    static_cast<std::uint64_t>(adapter.memoryMiB);
        }
    }
    decisions::CatalogueAccepted accepted;
    for (const auto &[artifact, memoryMiB] : memory)
        accepted.entries.push_back({artifact, memoryMiB});
    accepted.evacuated = catalogue.contents().evacuated;
    return accepted;
}

std::map<core::OrganisationId, decisions::RateLimit>
listLimits(const decisions::Catalogue &catalogue)
{
    std::map<core::OrganisationId, decisions::RateLimit> limits;
    for (const decisions::Organisation &organisation : catalogue.contents().organisations) {
        if (const auto *plan = catalogue.findPlan(organisation.organisation))
            limits[organisation.organisation] = {plan->tokensPerSecond, plan->burstTokens};
    }
    return limits;
}

std::vector<std::string> formatAddresses(const std::vector<config::SocketAddress> &addresses)
{
    std::vector<std::string> formatted;
    for (const config::SocketAddress &address : addresses)
        formatted.push_back(formatAddress(address));
    return formatted;
}

core::Result<std::string> readSecret(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return core::makeNotRunError(core::ErrorCode::InvalidRequest,
                                     "cannot read fleet secret file " + path);
    return std::string((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
}

} // namespace

class Node::Implementation final : public LifecycleListener, public FreshnessListener
{
public:
    Implementation(runtime::FiberRuntime &fiberRuntime, const config::NodeSettings &settings)
        : fiberRuntime_(fiberRuntime)
        , settings_(settings)
        , identity_ {settings.instance, makeIncarnation(), settings.dataCentre, settings.region}
        , buffers_(std::make_shared<runtime::ByteBudget>(
              static_cast<std::size_t>(settings.maxBufferedBytes)))
        , client_(fiberRuntime.ioContext(), {}, buffers_)
        , platformClient_(fiberRuntime.ioContext(), {})
        , store_(platformClient_, formatAddress(settings.platform), settings.platformTimeout)
    {
    }

    core::Result<NodeAddresses> start()
    {
        auto charts = loadCharts(settings_.chartsDirectory);
        if (!core::isOk(charts))
            return core::errorOf(charts);
        charts_ = core::takeValue(std::move(charts));
        if (const auto error = makeNetwork())
            return *error;
        makeTasks();
        // A successful bind of the peer address proves that no earlier process of this instance
        // runs.
        const auto peerAddress = peerServer_->listen(formatAddress(settings_.peerListen));
        if (!core::isOk(peerAddress))
            return core::errorOf(peerAddress);
        const auto callerAddress = server_->listen(formatAddress(settings_.callerListen));
        if (!core::isOk(callerAddress))
            return core::errorOf(callerAddress);
        if (const auto error = findUnreachable())
            return *error;
        startTasks(core::valueOf(callerAddress), core::valueOf(peerAddress));
        return NodeAddresses {core::valueOf(callerAddress), core::valueOf(peerAddress)};
    }

    void requestStop(core::TimePoint requestedAt)
    {
        static_cast<void>(lifecycle_->send({decisions::lifecycle::StopRequested(), requestedAt}));
    }

    void waitUntilStopped()
    {
        isStopped_.waitUntil(core::TimePoint::max(), [](bool isStopped) { return isStopped; });
        server_->stopAccepting();
        peerServer_->stopAccepting();
        isStopping_ = true;
        fleet_->stop();
        targets_->stop();
        routing_->stop();
        placement_->stop();
        quarantine_->stop();
        budget_->stop();
    }

    void onStopBegun() override { requestRecordRemoval(); }
    void onReleaseShares() override
    {
        static_cast<void>(budget_->trySend(decisions::ShareReleaseRequested()));
    }
    void onRemoveRecord() override { requestRecordRemoval(); }
    void onStopped() override { isStopped_.set(true); }

    void onFreshnessChanged(bool mayServe) override
    {
        if (!mayServe) {
            sendToLifecycle(decisions::lifecycle::FreshnessLost());
            return;
        }
        // The state chart of the node ignores the event that does not apply to its state.
        sendToLifecycle(decisions::lifecycle::ConfigurationLoaded());
        sendToLifecycle(decisions::lifecycle::FreshnessRegained());
    }

private:
    void sendToLifecycle(const decisions::lifecycle::Event &event)
    {
        static_cast<void>(lifecycle_->send({event, clock_.now()}));
    }

    void requestRecordRemoval()
    {
        static_cast<void>(
            fleet_->trySend(decisions::FleetAgent::Event(decisions::FleetAgent::StopRequested())));
    }

    /// Returns an error if neither the platform nor any peer is reachable, because the node could
    /// not obtain a configuration.
    std::optional<core::Error> findUnreachable()
    {
        if (core::isOk(store_.listInstances()))
            return std::nullopt;
        for (const std::string &address : formatAddresses(settings_.peers)) {
            const auto answer = network_->callAddress(address, decisions::MemberFetch(),
                                                      clock_.now() + kPeerTimeout);
            if (core::isOk(answer))
                return std::nullopt;
        }
        return core::makeNotRunError(core::ErrorCode::PlatformUnavailable,
                                     "platform " + formatAddress(settings_.platform)
                                         + " and all configured peers are unreachable");
    }

    std::optional<core::Error> makeNetwork()
    {
        const auto secret = readSecret(settings_.fleetSecretFile);
        if (!core::isOk(secret))
            return core::errorOf(secret);
        auto authenticator = peer::MessageAuthenticator::make(
            core::valueOf(secret), identity_.instance, identity_.incarnation);
        if (!core::isOk(authenticator))
            return core::errorOf(authenticator);
        authenticator_ = core::valueOf(authenticator);
        auto charts = peer::loadPeerCharts(settings_.chartsDirectory);
        if (!core::isOk(charts))
            return core::errorOf(charts);
        peerCharts_ = core::valueOf(charts);
        network_.emplace(fiberRuntime_.ioContext(), authenticator_, peer::PeerLinkOptions(),
                         peerCharts_, random_);
        messenger_.emplace(identity_, *network_, formatAddresses(settings_.peers), clock_);
        return std::nullopt;
    }

    void makeTasks()
    {
        lifecycle_.emplace(charts_.node, decisions::StopTimes {settings_.addressLifetime}, clock_,
                           *this);
        quarantine_.emplace(*messenger_, clock_);
        targets_.emplace(store_, settings_.targetReportInterval, settings_.platformWatchWait);
        placement_.emplace(identity_, charts_, decisions::PlannerSettings(), store_, client_,
                           *messenger_, clock_, settings_.targetReportInterval, metrics_);
        budget_.emplace(identity_, charts_.share, store_, *messenger_, clock_,
                        settings_.platformWatchWait);
        routing_.emplace(identity_, targets_->table(), *placement_, client_, random_, clock_,
                         metrics_);
        fleet_.emplace(charts_.fleet, store_, *messenger_, clock_, *this);
        messenger_->setReceivers(*fleet_, *quarantine_);
        services_.emplace(RequestDependencies {identity_, charts_, fleet_->configuration(),
                                               *lifecycle_, *quarantine_, *budget_, *routing_,
                                               store_, client_, random_, clock_, metrics_});
        handler_.emplace(*services_, fleet_->members(), settings_.requestTimeout,
                         settings_.addressLifetime);
        server_.emplace(fiberRuntime_.ioContext(), *handler_, makeLimits(settings_), buffers_);
        dispatcher_.emplace(PeerReceivers {*fleet_, *budget_, *placement_, *quarantine_}, clock_);
        peerServer_.emplace(fiberRuntime_.ioContext(), *dispatcher_, authenticator_,
                            peer::PeerServerOptions(), peerCharts_);
    }

    void startTasks(const std::string &callerAddress, const std::string &peerAddress)
    {
        decisions::MemberRecord self;
        self.instance = identity_.instance;
        self.callerAddress = callerAddress;
        self.peerAddress = peerAddress;
        self.dataCentre = identity_.dataCentre;
        self.region = identity_.region;
        self.incarnation = identity_.incarnation;
        targets_->addListener(*placement_);
        targets_->addListener(*budget_);
        lifecycle_->start();
        quarantine_->start();
        placement_->start();
        budget_->start();
        routing_->start(fleet_->members(), fleet_->configuration());
        targets_->start();
        fleet_->start(self);
        fibers_.start(
            [this] { runtime::runTask("configuration watch", [this] { watchConfiguration(); }); });
        fibers_.start([this] { runtime::runTask("member watch", [this] { watchMembers(); }); });
        runtime::logEvent(runtime::LogEvent::NodeReady,
                          identity_.instance.value + " for callers on " + callerAddress
                              + ", for peers on " + peerAddress);
    }

    void watchConfiguration()
    {
        std::uint64_t version = 0;
        EvacuationMonitor evacuations(metrics_);
        while (!isStopping_) {
            const auto limit = clock_.now() + kPollInterval;
            const auto isNewer = [&](const ActiveConfiguration &active) {
                return active.version > version;
            };
            if (!fleet_->configuration().waitUntil(limit, isNewer))
                continue;
            const auto active = fleet_->configuration().get();
            // Each version is announced once, so no task may miss it because its mailbox is full.
            static_cast<void>(placement_->send(listArtifacts(active->catalogue)));
            version = active->version;
            evacuations.onConfiguration(*active, *targets_->table().get());
            static_cast<void>(budget_->send(RateLimitsChanged {listLimits(active->catalogue)}));
        }
    }

    void watchMembers()
    {
        std::shared_ptr<const MembershipSnapshot> seen;
        while (!isStopping_) {
            const auto current = fleet_->members().get();
            if (current != seen) {
                seen = current;
                announceMembers(*current);
            }
            fleet_->members().waitUntil(
                clock_.now() + kPollInterval,
                [&](const MembershipSnapshot &) { return fleet_->members().get() != seen; });
        }
    }

    void announceMembers(const MembershipSnapshot &members)
    {
        PlannerCandidates candidates;
        decisions::BudgetMembersChanged budgetMembers;
        for (const Member &member : members.members) {
            budgetMembers.members.push_back(member.record.instance);
            if (member.record.region == identity_.region && !member.isSuspected)
                candidates.instances.push_back(member.record.instance);
        }
        static_cast<void>(placement_->send(std::move(candidates)));
        static_cast<void>(budget_->send(std::move(budgetMembers)));
    }

    runtime::FiberRuntime &fiberRuntime_;
    config::NodeSettings settings_;
    NodeIdentity identity_;
    core::MonotonicClock clock_;
    core::SystemRandomSource random_;
    std::shared_ptr<runtime::ByteBudget> buffers_;
    runtime::HttpClient client_;
    /// Has a budget of its own, which the answers of targets cannot use up.
    runtime::HttpClient platformClient_;
    platform::HttpPlatformStore store_;
    runtime::Metrics metrics_;
    ChartSet charts_;
    bool isStopping_ = false;
    runtime::Published<bool> isStopped_;
    std::shared_ptr<const peer::MessageAuthenticator> authenticator_;
    std::shared_ptr<const peer::PeerCharts> peerCharts_;
    std::optional<peer::PeerNetwork> network_;
    std::optional<PeerMessenger> messenger_;
    std::optional<LifecycleTask> lifecycle_;
    std::optional<QuarantineTask> quarantine_;
    std::optional<TargetWatchTask> targets_;
    std::optional<PlacementTask> placement_;
    std::optional<BudgetTask> budget_;
    std::optional<RoutingTask> routing_;
    std::optional<FleetTask> fleet_;
    std::optional<RequestDependencies> services_;
    std::optional<CallerHandler> handler_;
    std::optional<runtime::HttpServer> server_;
    std::optional<PeerDispatcher> dispatcher_;
    std::optional<peer::PeerServer> peerServer_;
    runtime::FiberGroup fibers_;
};

Node::Node(runtime::FiberRuntime &fiberRuntime, const config::NodeSettings &settings)
    : implementation_(std::make_unique<Implementation>(fiberRuntime, settings))
{
}

Node::~Node() = default;

core::Result<NodeAddresses> Node::start()
{
    return implementation_->start();
}

void Node::requestStop(core::TimePoint requestedAt)
{
    implementation_->requestStop(requestedAt);
}

void Node::waitUntilStopped()
{
    implementation_->waitUntilStopped();
}

} // namespace boragerack::node
