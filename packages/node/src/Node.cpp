#include "boragerack/node/Node.h"

#include <chrono>
#include <optional>
#include <utility>

#include "CallerHandler.h"
#include "MembershipTask.h"
#include "boragerack/config/NodeSettings.h"
#include "boragerack/core/SystemRandomSource.h"
#include "boragerack/platform/HttpPlatformStore.h"
#include "boragerack/runtime/EventLog.h"
#include "boragerack/runtime/FiberRuntime.h"
#include "boragerack/runtime/HttpServer.h"

namespace boragerack::node {

namespace {

constexpr std::chrono::milliseconds kMemberInterval(1000);

std::string formatAddress(const config::SocketAddress &address)
{
    return address.host + ":" + std::to_string(address.port);
}

/// Wall-clock time grows from one start of an instance to the next.
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

/// Artifacts that any plan permits, with their memory.
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
    return accepted;
}

/// Reaches no other node; a node without peers is its own planner.
class LocalLinks final : public PlannerLink, public QuarantineLink
{
public:
    core::Result<core::TargetId> wake(const core::InstanceId &planner,
                                      const decisions::WakeRequested &) override
    {
        return core::makeNotRunError(core::ErrorCode::NoReadyReplica,
                                     "planner " + planner.value + " cannot be reached",
                                     std::chrono::seconds(1));
    }
    void reportUse(const core::InstanceId &, const std::vector<decisions::ReplicaUsed> &) override
    {
    }
    void announce(const decisions::quarantine::Notice &) override { }
};

} // namespace

class Node::Implementation final : public LifecycleListener
{
public:
    Implementation(runtime::FiberRuntime &fiberRuntime, const config::NodeSettings &settings)
        : fiberRuntime_(fiberRuntime)
        , settings_(settings)
        , identity_ {settings.instance, makeIncarnation(), settings.dataCentre, settings.region}
        , client_(fiberRuntime.ioContext(), {})
        , store_(client_, formatAddress(settings.platform), settings.platformTimeout)
    {
    }

    core::Result<NodeAddresses> start()
    {
        auto charts = loadCharts(settings_.chartsDirectory);
        if (!core::isOk(charts))
            return core::errorOf(charts);
        charts_ = core::takeValue(std::move(charts));
        makeTasks();
        // The server must exist before its address is known, and the members need the address.
        membership_.emplace(store_,
                            Member {identity_.instance, identity_.incarnation, "",
                                    formatAddress(settings_.peerListen), identity_.dataCentre,
                                    identity_.region},
                            kMemberInterval);
        handler_.emplace(*services_, membership_->members(), settings_.requestTimeout,
                         settings_.addressLifetime);
        server_.emplace(fiberRuntime_.ioContext(), *handler_, makeLimits(settings_));
        auto address = server_->listen(formatAddress(settings_.callerListen));
        if (!core::isOk(address))
            return core::errorOf(address);
        startTasks(core::valueOf(address));
        return NodeAddresses {core::valueOf(address), formatAddress(settings_.peerListen)};
    }

    void requestStop() { static_cast<void>(lifecycle_->send(decisions::drain::StopRequested())); }

    void waitUntilStopped()
    {
        isStopped_.waitUntil(core::TimePoint::max(), [](bool isStopped) { return isStopped; });
        server_->stopAccepting();
        isStopping_ = true;
        membership_->stop();
        configuration_->stop();
        targets_->stop();
        routing_->stop();
        placement_->stop();
        quarantine_->stop();
    }

    void onAddressPublished(bool isPublished) override { membership_->setServing(isPublished); }
    void onReleaseShares() override { }
    void onRemoveRecord() override { membership_->removeRecord(); }
    void onStopped() override { isStopped_.set(true); }

private:
    void makeTasks()
    {
        lifecycle_.emplace(charts_.node, settings_.addressLifetime, clock_, *this);
        quarantine_.emplace(links_, clock_);
        configuration_.emplace(store_, settings_.platformWatchWait);
        targets_.emplace(store_, settings_.targetReportInterval, settings_.platformWatchWait);
        placement_.emplace(identity_, charts_, decisions::PlannerSettings(), store_, client_,
                           links_, clock_, settings_.targetReportInterval);
        routing_.emplace(identity_, targets_->table(), *placement_, client_, random_, clock_);
        services_.emplace(RequestServices {identity_, charts_, configuration_->active(),
                                           *lifecycle_, *quarantine_, *routing_, store_, client_,
                                           random_, clock_, metrics_});
    }

    void startTasks(const std::string &callerAddress)
    {
        membership_->setCallerAddress(callerAddress);
        targets_->addListener(*placement_);
        lifecycle_->start();
        quarantine_->start();
        placement_->start();
        routing_->start();
        targets_->start();
        configuration_->start();
        membership_->start();
        fibers_.start([this] { followConfiguration(); });
        fibers_.start([this] { followMembers(); });
    }

    void followConfiguration()
    {
        std::uint64_t version = 0;
        while (!isStopping_) {
            const auto limit = clock_.now() + kMemberInterval;
            const auto isNewer = [&](const ActiveConfiguration &active) {
                return active.version > version;
            };
            if (!configuration_->active().waitUntil(limit, isNewer))
                continue;
            const auto active = configuration_->active().get();
            version = active->version;
            static_cast<void>(placement_->trySend(listArtifacts(active->catalogue)));
            static_cast<void>(lifecycle_->send(decisions::drain::ConfigurationLoaded()));
        }
    }

    void followMembers()
    {
        std::vector<core::InstanceId> candidates;
        while (!isStopping_) {
            std::vector<core::InstanceId> current;
            for (const Member &member : membership_->members().get()->members) {
                if (member.region == identity_.region && !member.isSuspected)
                    current.push_back(member.instance);
            }
            if (current != candidates) {
                candidates = current;
                static_cast<void>(placement_->trySend(PlannerCandidates {candidates}));
            }
            membership_->members().waitUntil(
                clock_.now() + kMemberInterval,
                [seen = membership_->members().get()](const Members &members) {
                    return members != *seen;
                });
        }
    }

    runtime::FiberRuntime &fiberRuntime_;
    config::NodeSettings settings_;
    NodeIdentity identity_;
    core::SystemClock clock_;
    core::SystemRandomSource random_;
    runtime::HttpClient client_;
    platform::HttpPlatformStore store_;
    LocalLinks links_;
    Metrics metrics_;
    ChartSet charts_;
    bool isStopping_ = false;
    runtime::Published<bool> isStopped_;
    std::optional<LifecycleTask> lifecycle_;
    std::optional<QuarantineTask> quarantine_;
    std::optional<ConfigurationTask> configuration_;
    std::optional<TargetWatchTask> targets_;
    std::optional<PlacementTask> placement_;
    std::optional<RoutingTask> routing_;
    std::optional<RequestServices> services_;
    std::optional<MembershipTask> membership_;
    std::optional<CallerHandler> handler_;
    std::optional<runtime::HttpServer> server_;
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

void Node::requestStop()
{
    implementation_->requestStop();
}

void Node::waitUntilStopped()
{
    implementation_->waitUntilStopped();
}

} // namespace boragerack::node
