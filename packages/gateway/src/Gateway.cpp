#include "boragerack/gateway/Gateway.h"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include "AddressHandler.h"
#include "ConfigurationTask.h"
#include "CoordinatorTask.h"
#include "FleetSecret.h"
#include "GatewayRequestHandler.h"
#include "InstrumentedServingSource.h"
#include "LeaseTask.h"
#include "LifecycleTask.h"
#include "MetricsHandler.h"
#include "ReportHandler.h"
#include "ReportTask.h"
#include "RoutingTask.h"
#include "TargetTask.h"
#include "boragerack/core/SystemRandomSource.h"
#include "boragerack/gateway/GatewayCharts.h"
#include "boragerack/peer/MessageAuthenticator.h"
#include "boragerack/peer/PeerServer.h"
#include "boragerack/platform/InstrumentedPlatformStore.h"
#include "boragerack/runtime/EventLog.h"
#include "boragerack/runtime/FiberRuntime.h"
#include "boragerack/runtime/HttpClient.h"
#include "boragerack/runtime/HttpServer.h"

namespace boragerack::gateway {

namespace {

/// A target or the store that does not confirm bytes for this long is cut off; requests in flight
/// then end with the right verdict and kept connections are not used any more.
constexpr std::chrono::milliseconds kUnconfirmedTimeout(1500);
constexpr std::chrono::milliseconds kConnectTimeout(1000);
/// Kept connections to targets; the targets announce shorter times themselves.
constexpr std::chrono::milliseconds kIdleTimeout(8000);
constexpr std::size_t kIdlePerTarget = 16;
/// Callers may use an address for three times the lifetime that they are told.
constexpr int kLifetimesToDrain = 3;
/// Time between the end of draining and the kill.
constexpr std::chrono::milliseconds kStopMargin(700);
/// Part of the store's revision that makes room for a random part of the incarnation.
constexpr unsigned kIncarnationBits = 16;

std::string textOf(const config::SocketAddress &address)
{
    return address.host + ":" + std::to_string(address.port);
}

runtime::HttpClientOptions clientOptions()
{
    runtime::HttpClientOptions options;
    options.connectTimeout = kConnectTimeout;
    options.unconfirmedTimeout = kUnconfirmedTimeout;
    options.idleTimeout = kIdleTimeout;
    options.maxIdleConnectionsPerAddress = kIdlePerTarget;
    return options;
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
    return {{settings.retryRatio, static_cast<double>(settings.retrySlack), settings.retryWindow},
            static_cast<std::size_t>(settings.maxActiveRequests),
            {static_cast<std::size_t>(settings.maxWaitingPerOrganisation),
             static_cast<std::size_t>(settings.maxWaitingRequests)}};
}

decisions::LeaseTimes leaseTimesOf(const config::GatewaySettings &settings)
{
    decisions::LeaseTimes times;
    times.orderHandover = settings.orderHandover;
    return times;
}

} // namespace

struct Gateway::Parts
{
    Parts(runtime::FiberRuntime &fiberRuntime, const config::GatewaySettings &gatewaySettings,
          const GatewayDependencies &gatewayPorts, GatewayCharts gatewayCharts)
        : fibers(fiberRuntime)
        , settings(gatewaySettings)
        , ports(gatewayPorts)
        , charts(std::move(gatewayCharts))
        , self {settings.instance, textOf(settings.callerListen), settings.dataCentre,
                textOf(settings.peerListen)}
        , client(fibers.ioContext(), clientOptions())
        , source(ports.source, metrics)
        , store(ports.store, metrics)
        , configuration(source, clock, charts.freshness, settings.maxRevocationDelay)
        , targets(source, clock)
        , lease(store, clock, charts.coordinator,
                decisions::LeaseRecord {settings.instance,
                                        textOf(settings.peerListen),
                                        random.next() >> kIncarnationBits,
                                        0,
                                        false,
                                        {}},
                leaseTimesOf(settings))
        , coordinator(settings.instance, lease, configuration, ports.control, charts.targetOrder,
                      settings.quotaTolerance, clock, metrics)
        , routing(self, routingLimitsOf(settings), clock, random, metrics)
        , reports(lease, coordinator, routing, configuration, clock)
        , lifecycle(charts.node, kLifetimesToDrain * settings.addressLifetime,
                    settings.stopTimeout - kStopMargin, configuration, clock)
        , front({charts, ports.protocol, configuration, lifecycle, routing, client, clock, metrics},
                lifecycle)
        , directory(ports.protocol, routing, lifecycle, self, settings.addressLifetime)
        , metricsHandler(metrics)
        , frontServer(fibers.ioContext(), front, {})
        , readyServer(fibers.ioContext(), directory, {})
        , directoryServer(fibers.ioContext(), directory, {})
        , metricsServer(fibers.ioContext(), metricsHandler, {})
        , gate(coordinator)
    {
    }

    void startTasks();
    void passOn(RoutingTask::Relay relay);
    void connectPeers();

    runtime::FiberRuntime &fibers;
    config::GatewaySettings settings;
    GatewayDependencies ports;
    GatewayCharts charts;
    core::SuspendAwareClock clock;
    core::SystemRandomSource random;
    runtime::Metrics metrics;
    decisions::FleetMember self;
    runtime::HttpClient client;
    InstrumentedServingSource source;
    platform::InstrumentedPlatformStore store;
    ConfigurationTask configuration;
    TargetTask targets;
    LeaseTask lease;
    CoordinatorTask coordinator;
    RoutingTask routing;
    ReportTask reports;
    LifecycleTask lifecycle;
    GatewayRequestHandler front;
    AddressHandler directory;
    MetricsHandler metricsHandler;
    runtime::HttpServer frontServer;
    runtime::HttpServer readyServer;
    runtime::HttpServer directoryServer;
    runtime::HttpServer metricsServer;
    ReportHandler gate;
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
            reports.send(std::move(report));
        },
        [this](RoutingTask::Relay relay) { passOn(std::move(relay)); });
    reports.start();
    coordinator.start(routing.fleet());
    lifecycle.start([this] {
        if (!routing.trySend(StopAnnounced()))
            runtime::logEvent(runtime::LogEvent::MessageDropped, "message=stop_announced");
    });
    configuration.start(
        [this](const RouteTablePointer &table) {
            frontServer.updateLimits(limitsOf(table->configuration().limits));
            const bool isTaken = routing.trySend(ConfigurationChanged {table})
                && coordinator.trySend(CoordinatorConfigurationChanged {table})
                && lifecycle.trySend(LifecycleTask::ConfigurationArrived());
            if (!isTaken)
                runtime::logEvent(runtime::LogEvent::MessageDropped, "message=configuration_moved");
        },
        [this] { return coordinator.isCoordinating(); });
    targets.start(
        [this](const TargetTask::Update &update) {
            const bool isTaken =
                routing.trySend(TargetListChanged {update.entries, update.hasReplicas})
                && coordinator.trySend(CoordinatorTargetsChanged {update});
            if (!isTaken)
                runtime::logEvent(runtime::LogEvent::MessageDropped, "message=targets_moved");
        },
        [this] { return coordinator.isCoordinating(); });
    peerFiber = boost::fibers::fiber([this] { connectPeers(); });
}

void Gateway::Parts::passOn(RoutingTask::Relay relay)
{
    const bool isTaken = configuration.trySend(ConfigurationTask::RelayedConfiguration {
                             relay.configurationVersion, relay.configurationProvenAt,
                             std::move(relay.configuration)})
        && targets.trySend(
            TargetTask::RelayedTargets {std::move(relay.targets), relay.targetsReadAt});
    // A task that waits for the platform takes the next message; a lost list of targets does not
    // matter, because the task then reads the list itself.
    static_cast<void>(isTaken);
}

void Gateway::Parts::connectPeers()
{
    constexpr std::chrono::milliseconds kPause(100);
    while (configuration.firstRevision() == 0 && !isStopping)
        boost::this_fiber::sleep_for(kPause);
    std::optional<std::string> secret;
    while (!secret && !isStopping) {
        secret = readFleetSecret(store, random);
        if (!secret)
            boost::this_fiber::sleep_for(kPause);
    }
    if (isStopping)
        return;
    // The revision of the store grows between two starts of a process, as targets write to it all
    // the time; the random part keeps two starts at one revision apart.
    const std::uint64_t incarnation = (configuration.firstRevision() << kIncarnationBits)
        | (random.next() >> (64 - kIncarnationBits));
    auto authenticator = peer::MessageAuthenticator::make(*secret, settings.instance, incarnation);
    if (!core::isOk(authenticator)) {
        runtime::logEvent(runtime::LogEvent::PeerRejected, core::errorOf(authenticator).message);
        return;
    }
    network = std::make_unique<peer::PeerNetwork>(fibers.ioContext(), core::valueOf(authenticator),
                                                  peer::PeerLinkOptions(), charts.peer, random);
    peerServer =
        std::make_unique<peer::PeerServer>(fibers.ioContext(), gate, core::valueOf(authenticator),
                                           peer::PeerServerOptions(), charts.peer);
    const auto listening = peerServer->listen(textOf(settings.peerListen));
    if (!core::isOk(listening))
        runtime::logEvent(runtime::LogEvent::StartFailed, core::errorOf(listening).message);
    reports.setNetwork(network.get());
    lease.start();
}

Gateway::Gateway(runtime::FiberRuntime &fiberRuntime, const config::GatewaySettings &settings,
                 const GatewayDependencies &ports)
{
    auto charts = loadGatewayCharts(settings.chartsDirectory);
    if (core::isOk(charts))
        parts_ = std::make_unique<Parts>(fiberRuntime, settings, ports,
                                         core::takeValue(std::move(charts)));
    else
        runtime::logEvent(runtime::LogEvent::StartFailed, core::errorOf(charts).message);
}

Gateway::~Gateway()
{
    if (!parts_)
        return;
    // These tasks send messages to the others, so they end first.
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
        return core::makeNotRunError(core::ErrorCode::InvalidRequest, "the charts are invalid");
    const auto listen = [](runtime::HttpServer &server, const config::SocketAddress &address) {
        const auto opened = server.listen(textOf(address));
        return core::isOk(opened) ? std::nullopt : std::optional(core::errorOf(opened));
    };
    const config::GatewaySettings &settings = parts_->settings;
    for (const auto &[server, address] :
         {std::pair(&parts_->frontServer, &settings.callerListen),
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
                          + " order_handover_ms=" + std::to_string(settings.orderHandover.count())
                          + " stop_timeout_ms=" + std::to_string(settings.stopTimeout.count())
                          + " retry_ratio=" + std::to_string(settings.retryRatio)
                          + " retry_slack=" + std::to_string(settings.retrySlack)
                          + " quota_tolerance=" + std::to_string(settings.quotaTolerance));
    return core::Nothing();
}

void Gateway::updateSettings(const config::GatewaySettings &settings)
{
    parts_->directory.setAddressLifetime(settings.addressLifetime);
    runtime::logEvent(runtime::LogEvent::SettingsChanged,
                      "address_lifetime_ms=" + std::to_string(settings.addressLifetime.count()));
}

void Gateway::requestStop()
{
    if (!parts_->lifecycle.trySend(LifecycleTask::StopRequested()))
        runtime::logEvent(runtime::LogEvent::MessageDropped, "message=stop_requested");
    // Orders go on while this node finishes its requests; its successor must pause before the
    // first.
    if (!parts_->lease.trySend(LeaseTask::AnnounceStop()))
        runtime::logEvent(runtime::LogEvent::MessageDropped, "message=stop_announced");
}

void Gateway::waitUntilStopped()
{
    parts_->lifecycle.waitUntilStopped();
    parts_->lease.shutDown();
}

} // namespace boragerack::gateway
