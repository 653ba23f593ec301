#include "PlacementTask.h"

#include <utility>

#include <boost/fiber/operations.hpp>

#include "EngineJson.h"
#include "RecordJson.h"
#include "boragerack/core/RendezvousHash.h"
#include "boragerack/decisions/WarmestCheckpointPolicy.h"
#include "boragerack/runtime/EventLog.h"
#include "boragerack/runtime/ExceptionBoundary.h"

namespace boragerack::node {

namespace {

constexpr std::size_t kMailboxCapacity = 4096;
/// Interval of the planner's tick event when no other timer is due.
constexpr std::chrono::milliseconds kTickInterval(1000);
constexpr std::chrono::milliseconds kOrderTimeout(2000);
constexpr std::chrono::milliseconds kColdStartRetryDelay(200);
/// Time for the draining phase of a replica to propagate to all nodes, after which none selects it.
constexpr std::chrono::milliseconds kDrainGrace(5000);
/// An instance missing from the instance list for this long is considered removed permanently.
constexpr std::chrono::seconds kInstanceRemovalTimeout(30);

decisions::OrderOutcome readOrderOutcome(const core::Result<runtime::HttpResponse> &response)
{
    constexpr unsigned kAccepted = 202;
    constexpr unsigned kStaleFence = 409;
    constexpr unsigned kDoesNotFit = 507;
    if (!core::isOk(response)) {
        return core::errorOf(response).verdict == core::Verdict::NotRun
            ? decisions::OrderOutcome::NotSent
            : decisions::OrderOutcome::Unknown;
    }
    switch (core::valueOf(response).status) {
    case kAccepted:
        return decisions::OrderOutcome::Accepted;
    case kStaleFence:
        return decisions::OrderOutcome::StaleFence;
    case kDoesNotFit:
        return decisions::OrderOutcome::DoesNotFit;
    default:
        return decisions::OrderOutcome::Unknown;
    }
}

/// Reads the current object of a write conflict; version zero if it does not exist or cannot be
/// parsed.
template<class Record, class Parse>
decisions::Versioned<Record> readCurrent(const platform::WriteConflict &conflict, Parse parse)
{
    if (!conflict.current)
        return {};
    const auto record = parse(conflict.current->value);
    if (!core::isOk(record))
        return {};
    return {conflict.current->version, core::valueOf(record)};
}

/// Builds the answer to a write. After a conflict the caller adds the current object.
decisions::WriteAnswered makeAnswer(const decisions::OperationId &write,
                                    const platform::WriteResult &result)
{
    decisions::WriteAnswered answer {write};
    if (const auto *applied = std::get_if<platform::WriteApplied>(&result)) {
        answer.outcome = decisions::WriteOutcome::Applied;
        answer.version = applied->version;
    } else if (std::holds_alternative<platform::WriteConflict>(result)) {
        answer.outcome = decisions::WriteOutcome::Conflict;
    }
    return answer;
}

std::optional<std::uint64_t> writeCondition(std::uint64_t version)
{
    return version == 0 ? std::nullopt : std::optional(version);
}

} // namespace

PlacementTask::PlacementTask(const NodeIdentity &identity, const ChartSet &charts,
                             const decisions::PlannerSettings &settings,
                             platform::PlatformStore &store, runtime::HttpClient &client,
                             PlannerClient &plannerClient, const core::Clock &clock,
                             std::chrono::milliseconds reportInterval, runtime::Metrics &metrics)
    : identity_(identity)
    , store_(store)
    , client_(client)
    , plannerClient_(plannerClient)
    , clock_(clock)
    , reportInterval_(reportInterval)
    , metrics_(metrics)
    , loadPlanner_(identity.instance, identity.incarnation, charts.placement,
                   std::make_unique<decisions::WarmestCheckpointPolicy>(
                       decisions::WarmestCheckpointPolicy::Settings()),
                   settings)
    , mailbox_(kMailboxCapacity)
{
}

PlacementTask::~PlacementTask() = default;

void PlacementTask::start()
{
    fibers_.start([this] { runtime::runTask("placement", [this] { run(); }); });
}

void PlacementTask::stop()
{
    static_cast<void>(mailbox_.send(StopPlacement()));
}

bool PlacementTask::trySend(PlacementMessage message)
{
    return mailbox_.trySend(std::move(message));
}

bool PlacementTask::send(PlacementMessage message)
{
    return mailbox_.send(std::move(message));
}

void PlacementTask::onTargetChanges(const TargetChanges &changes)
{
    static_cast<void>(mailbox_.send(changes));
}

void PlacementTask::onInstances(const std::vector<platform::InstanceRecord> &instances)
{
    static_cast<void>(mailbox_.send(InstancesListed {instances}));
}

void PlacementTask::onPlatformReachable(bool isReachable)
{
    static_cast<void>(mailbox_.send(decisions::PlatformReachable {isReachable}));
}

void PlacementTask::run()
{
    while (isRunning_) {
        core::TimePoint wakeUpTime =
            std::min(clock_.now() + kTickInterval, loadPlanner_.nextTimer());
        for (const auto &[target, engine] : engines_) {
            if (isPlanner() && hasLoadInProgress(target))
                wakeUpTime = std::min(wakeUpTime, clock_.now() + kBusyReportInterval);
        }
        if (auto message = mailbox_.receiveUntil(wakeUpTime))
            std::visit([this](const auto &body) { on(body); }, *message);
        else
            handleEvent(decisions::PlacementTick());
        pollReports();
        finishDrains();
        sendUses();
        countReplicaTime();
    }
    // Fibers that still wait for the platform or an engine must not block on a full mailbox.
    mailbox_.close();
}

void PlacementTask::handleEvent(const decisions::PlannerEvent &event)
{
    for (const decisions::PlannerAction &action : loadPlanner_.handle(event, clock_.now()))
        std::visit([this](const auto &body) { perform(body); }, action);
}

template<class Event>
void PlacementTask::on(const Event &event)
{
    handleEvent(event);
}

void PlacementTask::on(const RequestColdStart &message)
{
    const decisions::ColdStartRequested request {identity_.instance, nextRequest_++,
                                                 message.artifact, message.deadline};
    if (isPlanner() || planner_.value.empty()) {
        waiting_.insert_or_assign({request.node, request.request}, message.reply);
        handleEvent(request);
        return;
    }
    fibers_.start([this, planner = planner_, request, message] {
        const auto outcome = plannerClient_.requestColdStart(planner, request);
        const bool isLost = !core::isOk(outcome)
            && core::errorOf(outcome).code == core::ErrorCode::ConnectionFailed;
        if (!isLost || clock_.now() + kColdStartRetryDelay >= message.deadline) {
            message.reply.set(outcome);
            return;
        }
        // The planner failed or is no longer the planner; another node may have the role by then.
        boost::this_fiber::sleep_for(kColdStartRetryDelay);
        if (!mailbox_.trySend(message))
            message.reply.set(outcome);
    });
}

void PlacementTask::on(const RemoteColdStartRequest &message)
{
    if (!isPlanner()) {
        message.reply.set(core::makeNotRunError(core::ErrorCode::ConnectionFailed,
                                                identity_.instance.value + " is not the planner"));
        return;
    }
    waiting_.insert_or_assign({message.node, message.request}, message.reply);
    handleEvent(decisions::ColdStartRequested {message.node, message.request, message.artifact,
                                               message.deadline});
}

void PlacementTask::on(const InstancesListed &message)
{
    std::set<core::InstanceId> present;
    std::map<core::TargetId, platform::InstanceRecord> engines;
    for (const platform::InstanceRecord &instance : message.instances) {
        present.insert(instance.instance);
        missingSince_.erase(instance.instance);
        if (instance.kind != platform::InstanceKind::Engine || instance.region != identity_.region)
            continue;
        const core::TargetId target {instance.instance.value};
        engines.emplace(target, instance);
        handleEvent(decisions::TargetListed {target, instance.memoryMiB, instance.checksFencing,
                                             instance.state == platform::InstanceState::Leaving,
                                             instance.dataCentre});
    }
    for (const core::InstanceId &instance : listed_) {
        if (!present.contains(instance))
            missingSince_.try_emplace(instance, clock_.now());
    }
    listed_.insert(present.begin(), present.end());
    engines_ = std::move(engines);
    for (auto entry = missingSince_.begin(); entry != missingSince_.end();) {
        if (clock_.now() - entry->second < kInstanceRemovalTimeout) {
            ++entry;
            continue;
        }
        handleEvent(decisions::InstanceRemoved {entry->first});
        handleEvent(decisions::TargetRemoved {core::TargetId {entry->first.value}});
        listed_.erase(entry->first);
        entry = missingSince_.erase(entry);
    }
}

void PlacementTask::on(const PlannerCandidates &message)
{
    const auto owners =
        core::rendezvousOwners("planner/" + identity_.region.value, message.instances, 1);
    const core::InstanceId planner = owners.empty() ? core::InstanceId() : owners.front();
    if (planner == planner_)
        return;
    planner_ = planner;
    reportedUses_.clear();
    handleEvent(decisions::RoleChanged {isPlanner()});
}

void PlacementTask::on(const StopPlacement &)
{
    isRunning_ = false;
    for (const auto &[request, reply] : waiting_)
        reply.set(core::makeNotRunError(core::ErrorCode::Draining, "node is stopping"));
}

void PlacementTask::on(const TargetChanges &message)
{
    if (message.isSnapshot) {
        handleEvent(
            decisions::PlatformSnapshot {message.revision, message.models, message.targets});
        return;
    }
    for (const auto &model : message.models)
        handleEvent(decisions::ModelRead {model});
    for (const auto &target : message.targets)
        handleEvent(decisions::TargetRead {target});
}

void PlacementTask::on(const decisions::ReplicaUsed &message)
{
    const ReplicaKey key(message.target, message.artifact);
    usesByNode_[message.node][key] = message.inFlight;
    if (message.node == identity_.instance)
        uses_[key] = message.inFlight;
    handleEvent(message);
}

void PlacementTask::perform(const decisions::WriteModel &action)
{
    fibers_.start([this, action] {
        const auto result =
            store_.write(decisions::modelKey(action.record.artifact),
                         serialiseModelRecord(action.record), writeCondition(action.ifVersion));
        decisions::WriteAnswered answer = makeAnswer(action.record.writer, result);
        if (const auto *conflict = std::get_if<platform::WriteConflict>(&result))
            answer.model = readCurrent<decisions::ModelRecord>(*conflict, parseModelRecord);
        static_cast<void>(mailbox_.send(answer));
    });
}

void PlacementTask::perform(const decisions::WriteTarget &action)
{
    fibers_.start([this, action] {
        const auto result =
            store_.write(decisions::targetKey(action.record.target),
                         serialiseTargetRecord(action.record), writeCondition(action.ifVersion));
        decisions::WriteAnswered answer = makeAnswer(action.record.writer, result);
        if (const auto *conflict = std::get_if<platform::WriteConflict>(&result))
            answer.target = readCurrent<decisions::TargetRecord>(*conflict, parseTargetRecord);
        static_cast<void>(mailbox_.send(answer));
    });
}

void PlacementTask::perform(const decisions::SendOrder &action)
{
    const auto engine = engines_.find(action.target);
    if (engine == engines_.end()) {
        handleEvent(decisions::OrderAnswered {action.order, decisions::OrderOutcome::NotSent});
        return;
    }
    const bool isLoad = action.kind == decisions::OrderKind::Load;
    runtime::logEvent(isLoad ? runtime::LogEvent::LoadOrdered : runtime::LogEvent::UnloadOrdered,
                      decisions::modelKey(action.artifact) + " on " + action.target.value
                          + " order " + decisions::formatOperationId(action.order));
    fibers_.start([this, action, isLoad, address = engine->second.address] {
        // Uses a new connection, because a pooled one could deliver the order after its response
        // was lost.
        const auto response =
            client_.call(address,
                         {"POST",
                          isLoad ? "/control/load" : "/control/unload",
                          {{"Content-Type", "application/json"}},
                          serialiseOrder(action)},
                         clock_.now() + kOrderTimeout, runtime::ConnectionUse::SingleUse);
        static_cast<void>(
            mailbox_.send(decisions::OrderAnswered {action.order, readOrderOutcome(response)}));
    });
}

void PlacementTask::perform(const decisions::ReplicaStateChanged &action)
{
    const ReplicaKey key(action.target, action.artifact);
    drains_.erase(key);
    if (action.state == decisions::ReplicaState::Draining)
        drains_[key] = Drain {action.drain, clock_.now() + kDrainGrace};
    if (action.state == decisions::ReplicaState::Ready) {
        runtime::logEvent(runtime::LogEvent::LoadFinished,
                          decisions::modelKey(action.artifact) + " on " + action.target.value);
    }
}

void PlacementTask::perform(const decisions::ColdStartAnswered &action)
{
    const auto found = waiting_.find({action.node, action.request});
    if (found == waiting_.end())
        return;
    found->second.set(action.outcome);
    waiting_.erase(found);
}

} // namespace boragerack::node
