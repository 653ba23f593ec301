#include "boragerack/gateway/Gateway.h"

#include <algorithm>
#include <cmath>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include "AddressHandler.h"
#include "ConfigurationTask.h"
#include "CoordinatorTask.h"
#include "CrashCheckTask.h"
#include "FleetSecret.h"
#include "GatewayRequestHandler.h"
#include "InstrumentedServingSource.h"
#include "LeaseTask.h"
#include "LifecycleTask.h"
#include "MetricsHandler.h"
#include "ProcessIncarnation.h"
#include "ReportHandler.h"
#include "ReportTask.h"
#include "RoutingTask.h"
#include "TargetTask.h"
#include "boragerack/core/SystemRandomSource.h"
#include "boragerack/gateway/GatewayCharts.h"
#include "boragerack/peer/MessageAuthenticator.h"
#include "boragerack/peer/PeerServer.h"
#include "boragerack/platform/InstrumentedPlatformStore.h"
#include "boragerack/runtime/ByteBudget.h"
#include "boragerack/runtime/EventLog.h"
#include "boragerack/runtime/ExceptionBoundary.h"
#include "boragerack/runtime/FiberRuntime.h"
#include "boragerack/runtime/HttpClient.h"
#include "boragerack/runtime/HttpServer.h"

namespace boragerack::gateway {

namespace {

/// A connection whose peer does not acknowledge sent data within this time is closed. Requests in
/// flight then fail with the correct verdict, and idle connections are not reused.
constexpr std::chrono::milliseconds kUnacknowledgedTimeout(1500);
constexpr std::chrono::milliseconds kConnectTimeout(1000);
/// Idle timeout of connections to targets; targets may announce a shorter one.
constexpr std::chrono::milliseconds kIdleTimeout(8000);
constexpr std::size_t kMaxIdlePerTarget = 16;
/// Callers may use an address for three times its announced lifetime.
constexpr int kLifetimesToDrain = 3;
/// A node that is short of processor time may receive the stop signal this much later than it was
/// sent; the end of the admission period counts from the sending.
constexpr std::chrono::milliseconds kMaxSignalDelay(400);
/// Time between the end of draining and the forced termination of the process, and its maximum
/// share of the whole stop timeout.
constexpr std::chrono::milliseconds kStopMargin(700);
constexpr int kMaxStopMarginDivisor = 8;
/// Share of the time until the termination in which requests are admitted at most, so that the last
/// ones can finish, and in which admitted requests are sent to targets.
constexpr double kAdmissionShare = 0.5;
constexpr double kDispatchShare = 0.75;
/// Maximum time for the last refusals to be written once all requests have finished.
constexpr std::chrono::milliseconds kConnectionCloseTime(200);
constexpr std::chrono::milliseconds kConnectionCheckInterval(5);
constexpr double kThousandths = 1000;
constexpr std::size_t kMegabyte = 1024 * 1024;
/// Share of the memory for buffered bodies, and for what requests in flight need besides: the parts
/// that wait for a slow caller and the read buffer of the connection.
constexpr std::size_t kBufferShareDivisor = 4;
constexpr std::size_t kActiveRequestsShareDivisor = 4;
constexpr std::size_t kBytesPerActiveRequest = 128 * 1024;
/// A node with a smaller share of a processor takes the lease only if no larger one does, because
/// the coordinator receives the reports of the whole fleet.
constexpr double kMinCoordinatorShare = 0.2;
constexpr std::chrono::milliseconds kSmallNodeDelay(800);
/// Random bits that are left out of the incarnation of a lease holder.
constexpr unsigned kUnusedIncarnationBits = 16;

std::string textOf(const config::SocketAddress &address)
{
    return address.host + ":" + std::to_string(address.port);
}

runtime::HttpClientOptions clientOptions()
{
    runtime::HttpClientOptions options;
    options.connectTimeout = kConnectTimeout;
    options.unconfirmedTimeout = kUnacknowledgedTimeout;
    options.idleTimeout = kIdleTimeout;
    options.maxIdleConnectionsPerAddress = kMaxIdlePerTarget;
    return options;
}

std::size_t memoryBytes(const config::GatewaySettings &settings)
{
    return static_cast<std::size_t>(settings.memoryMb) * kMegabyte;
}

std::size_t maxActiveRequests(const config::GatewaySettings &settings)
{
    const std::size_t fitting =
        memoryBytes(settings) / kActiveRequestsShareDivisor / kBytesPerActiveRequest;
    return std::min(static_cast<std::size_t>(settings.maxActiveRequests),
                    std::max<std::size_t>(1, fitting));
}

runtime::HttpLimits limitsOf(const decisions::CallerLimits &limits)
{
    runtime::HttpLimits result;
    result.maxHeaderBytes = limits.maxHeaderBytes;
    result.maxBodyBytes = limits.maxBodyBytes;
    result.headerTimeout = limits.headerTimeout;
    result.idleTimeout = limits.idleTimeout;
    return result;
}

RoutingTask::Limits routingLimitsOf(const config::GatewaySettings &settings)
{
    return {{settings.retryRatio, settings.retrySlack, settings.retryWindow},
            maxActiveRequests(settings),
            {static_cast<std::size_t>(settings.maxWaitingPerOrganisation),
             static_cast<std::size_t>(settings.maxWaitingRequests)}};
}

decisions::StopTimes stopTimesOf(const config::GatewaySettings &settings)
{
    const auto termination =
        settings.stopTimeout - std::min(kStopMargin, settings.stopTimeout / kMaxStopMarginDivisor);
    const auto share = [&](double fraction) {
        return std::chrono::floor<std::chrono::milliseconds>(termination * fraction);
    };
    const auto cachedFor = std::max(settings.addressLifetime,
                                    kLifetimesToDrain * settings.addressLifetime - kMaxSignalDelay);
    return {std::min(cachedFor, share(kAdmissionShare)), share(kDispatchShare), termination};
}

decisions::LeaseTimes leaseTimesOf(const config::GatewaySettings &settings)
{
    decisions::LeaseTimes times;
    times.orderHandover = settings.orderHandover;
    if (settings.processorShare < kMinCoordinatorShare)
        times.acquireDelay = kSmallNodeDelay;
    return times;
}

} // namespace

std::size_t bufferLimitBytes(const config::GatewaySettings &settings)
{
    return memoryBytes(settings) / kBufferShareDivisor;
}

/// Reads as the coordinator of the fleet or as one of its nodes.
class NodeReadPace final : public ReadPaceSource
{
public:
    NodeReadPace(const CoordinatorTask &coordinator, const LeaseTask &lease)
        : coordinator_(coordinator)
        , lease_(lease)
    {
    }

    bool isCoordinating() const override { return coordinator_.isCoordinating(); }
    decisions::PlatformReadPace pace() const override
    {
        return {lease_.lease().peakNodeCount(), isCoordinating()};
    }

private:
    const CoordinatorTask &coordinator_;
    const LeaseTask &lease_;
};

struct Gateway::Parts
{
    Parts(runtime::FiberRuntime &fiberRuntime, const config::GatewaySettings &gatewaySettings,
          const GatewayDependencies &gatewayDependencies, GatewayCharts gatewayCharts)
        : fibers(fiberRuntime)
        , settings(gatewaySettings)
        , dependencies(gatewayDependencies)
        , charts(std::move(gatewayCharts))
        , self {settings.instance, textOf(settings.callerListen), settings.dataCentre,
                textOf(settings.peerListen),
                static_cast<std::uint32_t>(std::lround(settings.processorShare * kThousandths))}
        , buffers(dependencies.buffers
                      ? dependencies.buffers
                      : std::make_shared<runtime::ByteBudget>(bufferLimitBytes(settings)))
        , client(fibers.ioContext(), clientOptions(), buffers)
        , source(dependencies.source, metrics)
        , store(dependencies.store, metrics)
        , configuration(source, clock, random, charts.freshness, settings.maxRevocationDelay)
        , targets(source, clock, random, settings.maxEvacuationDelay)
        , lease(store, clock, charts.coordinator,
                decisions::LeaseRecord {settings.instance,
                                        textOf(settings.peerListen),
                                        random.next() >> kUnusedIncarnationBits,
                                        0,
                                        false,
                                        {}},
                leaseTimesOf(settings))
        , coordinator(settings.instance, lease, configuration, dependencies.control,
                      charts.targetOrder, settings.quotaTolerance, clock, metrics)
        , routing(self, routingLimitsOf(settings), clock, random, metrics)
        , crashChecks(charts.connection, dependencies.control, routing)
        , reports(self, lease, coordinator, routing, configuration, clock)
        , lifecycle(charts.node, stopTimesOf(settings), configuration, clock)
        , requestHandler({charts, dependencies.protocol, configuration, lifecycle, routing,
                          crashChecks, client, clock, metrics},
                         lifecycle)
        , addressHandler(dependencies.protocol, routing, lifecycle, self, settings.addressLifetime)
        , metricsHandler(metrics)
        , callerServer(fibers.ioContext(), requestHandler, {}, buffers)
        , readyServer(fibers.ioContext(), addressHandler, {}, buffers)
        , directoryServer(fibers.ioContext(), addressHandler, {}, buffers)
        , metricsServer(fibers.ioContext(), metricsHandler, {}, buffers)
        , reportHandler(coordinator, reports)
        , readPace(coordinator, lease)
    {
    }

    void startTasks();
    bool relayToTasks(RoutingTask::Relay relay);
    void connectPeers();
    void keepFleetSecret(const std::string &secret);

    runtime::FiberRuntime &fibers;
    config::GatewaySettings settings;
    GatewayDependencies dependencies;
    GatewayCharts charts;
    core::SuspendAwareClock clock;
    core::SystemRandomSource random;
    runtime::Metrics metrics;
    decisions::FleetMember self;
    std::shared_ptr<runtime::ByteBudget> buffers;
    runtime::HttpClient client;
    InstrumentedServingSource source;
    platform::InstrumentedPlatformStore store;
    ConfigurationTask configuration;
    TargetTask targets;
    LeaseTask lease;
    CoordinatorTask coordinator;
    RoutingTask routing;
    CrashCheckTask crashChecks;
    ReportTask reports;
    LifecycleTask lifecycle;
    GatewayRequestHandler requestHandler;
    AddressHandler addressHandler;
    MetricsHandler metricsHandler;
    runtime::HttpServer callerServer;
    runtime::HttpServer readyServer;
    runtime::HttpServer directoryServer;
    runtime::HttpServer metricsServer;
    ReportHandler reportHandler;
    NodeReadPace readPace;
    std::unique_ptr<peer::PeerNetwork> network;
    std::unique_ptr<peer::PeerServer> peerServer;
    bool isStopping = false;
    boost::fibers::fiber peerFiber;
};

void Gateway::Parts::startTasks()
{
    routing.start(
        [this](decisions::CoordinationReport report) {
            const RouteTablePointer table = configuration.table();
            report.isPlatformLost = configuration.isPlatformLost();
            report.configurationVersion = table ? table->configuration().version : 0;
            const bool isSent = reports.trySend(OwnReport {std::move(report)});
            if (!isSent)
                runtime::logEvent(runtime::LogEvent::MessageDropped, "message=report");
            return isSent;
        },
        [this](RoutingTask::Relay relay) { return relayToTasks(std::move(relay)); });
    crashChecks.start();
    reports.start();
    coordinator.start(routing.fleet());
    lifecycle.start([this] {
        if (!routing.trySend(StopAnnounced()))
            runtime::logEvent(runtime::LogEvent::MessageDropped, "message=stop_announced");
    });
    configuration.start(
        [this](const RouteTablePointer &table) {
            callerServer.updateLimits(limitsOf(table->configuration().limits));
            // Each version is announced once. These tasks never wait for this one.
            bool isSent = routing.send(ConfigurationChanged {table});
            isSent = coordinator.send(CoordinatorConfigurationChanged {table}) && isSent;
            isSent = lifecycle.send(LifecycleTask::ConfigurationArrived()) && isSent;
            if (!isSent)
                runtime::logEvent(runtime::LogEvent::MessageDropped,
                                  "message=configuration_changed");
        },
        readPace);
    targets.start(
        [this](const TargetTask::Update &update) {
            const bool isSent =
                routing.trySend(TargetListChanged {update.entries, update.hasReplicas})
                && coordinator.trySend(CoordinatorTargetsChanged {update});
            if (!isSent)
                runtime::logEvent(runtime::LogEvent::MessageDropped, "message=target_list_changed");
            return isSent;
        },
        readPace);
    peerFiber = boost::fibers::fiber(
        [this] { runtime::runTask("peer connections", [this] { connectPeers(); }); });
}

bool Gateway::Parts::relayToTasks(RoutingTask::Relay relay)
{
    // A send fails if the mailbox is closed, or full because the task is waiting for the platform.
    // The next relayed state replaces a lost one; a lost list of targets has to be sent again,
    // because later states only confirm it.
    if (!configuration.trySend(ConfigurationTask::RelayedConfiguration {
            relay.configurationVersion, relay.configurationProvenAt,
            std::move(relay.configuration)}))
        runtime::logEvent(runtime::LogEvent::MessageDropped, "message=relayed_configuration");
    if (!relay.targets)
        return false;
    const bool hasList = relay.targets->entries.has_value();
    const bool isAccepted = targets.trySend(std::move(*relay.targets));
    if (!isAccepted)
        runtime::logEvent(runtime::LogEvent::MessageDropped,
                          std::string("message=relayed_targets changed=")
                              + (hasList ? "yes" : "no"));
    return isAccepted;
}

void Gateway::Parts::connectPeers()
{
    constexpr std::chrono::milliseconds kRetryDelay(100);
    while (configuration.firstRevision() == 0 && !isStopping)
        boost::this_fiber::sleep_for(kRetryDelay);
    std::optional<std::string> secret;
    while (!secret && !isStopping) {
        secret = readFleetSecret(store, random);
        if (!secret)
            boost::this_fiber::sleep_for(kRetryDelay);
    }
    if (isStopping)
        return;
    auto authenticator = peer::MessageAuthenticator::make(
        *secret, settings.instance, makeIncarnation(configuration.firstRevision(), random.next()));
    if (!core::isOk(authenticator)) {
        runtime::logEvent(runtime::LogEvent::PeerRejected, core::errorOf(authenticator).message);
        return;
    }
    network = std::make_unique<peer::PeerNetwork>(fibers.ioContext(), core::valueOf(authenticator),
                                                  peer::PeerLinkOptions(), charts.peer, random);
    peerServer = std::make_unique<peer::PeerServer>(fibers.ioContext(), reportHandler,
                                                    core::valueOf(authenticator),
                                                    peer::PeerServerOptions(), charts.peer);
    const auto listening = peerServer->listen(textOf(settings.peerListen));
    if (!core::isOk(listening))
        runtime::logEvent(runtime::LogEvent::StartFailed, core::errorOf(listening).message);
    reports.setNetwork(network.get());
    lease.start();
    keepFleetSecret(*secret);
}

void Gateway::Parts::keepFleetSecret(const std::string &secret)
{
    constexpr std::chrono::milliseconds kCheckInterval(250);
    std::uint64_t era = configuration.era();
    while (!isStopping) {
        boost::this_fiber::sleep_for(kCheckInterval);
        if (const std::uint64_t current = configuration.era();
            current != era && restoreFleetSecret(store, secret))
            era = current;
    }
}

Gateway::Gateway(runtime::FiberRuntime &fiberRuntime, const config::GatewaySettings &settings,
                 const GatewayDependencies &dependencies)
{
    auto charts = loadGatewayCharts(settings.chartsDirectory);
    if (core::isOk(charts))
        parts_ = std::make_unique<Parts>(fiberRuntime, settings, dependencies,
                                         core::takeValue(std::move(charts)));
    else
        runtime::logEvent(runtime::LogEvent::StartFailed, core::errorOf(charts).message);
}

Gateway::~Gateway()
{
    if (!parts_)
        return;
    // These tasks send messages to the others, so they are stopped first.
    parts_->isStopping = true;
    if (parts_->peerFiber.joinable())
        parts_->peerFiber.join();
    parts_->configuration.shutDown();
    parts_->targets.shutDown();
    parts_->reports.shutDown();
}

core::Result<core::Nothing> Gateway::start()
{
    if (!parts_)
        return core::makeNotRunError(core::ErrorCode::InvalidRequest,
                                     "the state charts cannot be loaded from the charts directory");
    const auto listen = [](runtime::HttpServer &server, const config::SocketAddress &address) {
        const auto opened = server.listen(textOf(address));
        return core::isOk(opened) ? std::nullopt : std::optional(core::errorOf(opened));
    };
    const config::GatewaySettings &settings = parts_->settings;
    for (const auto &[server, address] :
         {std::pair(&parts_->callerServer, &settings.callerListen),
          std::pair(&parts_->readyServer, &settings.readyListen),
          std::pair(&parts_->directoryServer, &settings.directoryListen),
          std::pair(&parts_->metricsServer, &settings.metricsListen)}) {
        if (const auto error = listen(*server, *address))
            return *error;
    }
    parts_->startTasks();
    runtime::logEvent(runtime::LogEvent::NodeReady,
                      "instance=" + settings.instance.value
                          + " caller=" + textOf(settings.callerListen)
                          + " metrics=" + textOf(settings.metricsListen)
                          + " revocation_ms=" + std::to_string(settings.maxRevocationDelay.count())
                          + " evacuation_ms=" + std::to_string(settings.maxEvacuationDelay.count())
                          + " order_handover_ms=" + std::to_string(settings.orderHandover.count())
                          + " stop_timeout_ms=" + std::to_string(settings.stopTimeout.count())
                          + " retry_ratio=" + std::to_string(settings.retryRatio)
                          + " retry_slack=" + std::to_string(settings.retrySlack)
                          + " quota_tolerance=" + std::to_string(settings.quotaTolerance));
    return core::Nothing();
}

void Gateway::updateSettings(const config::GatewaySettings &settings)
{
    parts_->addressHandler.setAddressLifetime(settings.addressLifetime);
    runtime::logEvent(runtime::LogEvent::SettingsChanged,
                      "address_lifetime_ms=" + std::to_string(settings.addressLifetime.count()));
}

void Gateway::requestStop(core::TimePoint requestedAt)
{
    // A stop request that is lost would make the platform kill the process.
    if (!parts_->lifecycle.send(LifecycleTask::StopRequested {requestedAt}))
        runtime::logEvent(runtime::LogEvent::MessageDropped, "message=stop_requested");
    // This node continues to send orders while it drains; the next coordinator must wait before its
    // first order.
    if (!parts_->lease.trySend(LeaseTask::AnnounceStop()))
        runtime::logEvent(runtime::LogEvent::MessageDropped, "message=stop_announced");
}

void Gateway::waitUntilStopped()
{
    parts_->lifecycle.waitUntilStopped();
    // A request whose last byte was read just now is still answered.
    parts_->callerServer.stopAccepting();
    parts_->lease.shutDown();
    const auto limit = std::chrono::steady_clock::now() + kConnectionCloseTime;
    while (parts_->callerServer.connectionCount() > 0 && std::chrono::steady_clock::now() < limit)
        boost::this_fiber::sleep_for(kConnectionCheckInterval);
}

} // namespace boragerack::gateway
