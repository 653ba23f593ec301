#include "PlacementSimulation.h"

#include <algorithm>

namespace boragerack::decisions {

namespace {

constexpr std::chrono::seconds kInstanceRemovalDelay(30);

/// Whether the write contains a reservation in phase Recorded that its own writer has issued.
bool addsReservation(const WriteTarget &write)
{
    return std::any_of(write.record.reservations.begin(), write.record.reservations.end(),
                       [&write](const MemoryReservation &reservation) {
                           return reservation.phase == ReservationPhase::Recorded
                               && reservation.order.instance == write.record.writer.instance;
                       });
}

WriteAnswered makeAnswer(const WriteModel &write,
                         const FakeRecordStore::PutResult<ModelRecord> &result)
{
    if (result.isApplied)
        return {write.record.writer, WriteOutcome::Applied, result.current.version};
    return {write.record.writer, WriteOutcome::Conflict, 0, result.current, std::nullopt};
}

WriteAnswered makeAnswer(const WriteTarget &write,
                         const FakeRecordStore::PutResult<TargetRecord> &result)
{
    if (result.isApplied)
        return {write.record.writer, WriteOutcome::Applied, result.current.version};
    return {write.record.writer, WriteOutcome::Conflict, 0, std::nullopt, result.current};
}

PlannerEvent makeRead(const Versioned<ModelRecord> &object)
{
    return ModelRead {object};
}

PlannerEvent makeRead(const Versioned<TargetRecord> &object)
{
    return TargetRead {object};
}

} // namespace

PlacementSimulation::PlacementSimulation(Settings settings, const PlacementCharts &charts)
    : settings_(std::move(settings))
    , random_(settings_.seed)
{
    // Start after the epoch, because the planners subtract durations from the current time.
    now_ += std::chrono::hours(1);
    for (const FakeEngine::Settings &engine : settings_.engines) {
        engineIndex_.emplace(engine.target, engines_.size());
        engines_.emplace_back(engine);
        engineGenerations_.push_back(0);
    }
    for (std::size_t i = 0; i < settings_.planners; ++i) {
        processes_.emplace_back();
        processes_[i].planner =
            std::make_unique<LoadPlanner>(core::InstanceId {"node-" + std::to_string(i)}, 1, charts,
                                          settings_.makePolicy(), settings_.planner);
        deliver(i, CatalogueAccepted {settings_.catalogue});
        for (const FakeEngine &engine : engines_) {
            const FakeEngine::Settings &each = engine.settings();
            deliver(i, TargetListed {each.target, each.memoryMiB, each.checksFencing, false});
        }
        tick(i, now_);
        poll(i);
    }
}

core::Duration PlacementSimulation::randomDelay(core::Duration limit)
{
    return core::Duration(static_cast<core::Duration::rep>(
        random_.next() % static_cast<std::uint64_t>(limit.count() + 1)));
}

void PlacementSimulation::at(core::TimePoint time, std::function<void()> action)
{
    queue_.emplace(std::max(time, now_), std::move(action));
}

void PlacementSimulation::runUntil(core::TimePoint end)
{
    while (!queue_.empty() && queue_.begin()->first <= end) {
        auto next = queue_.extract(queue_.begin());
        now_ = next.key();
        next.mapped()();
    }
    now_ = end;
}

void PlacementSimulation::deliver(std::size_t index, const PlannerEvent &event)
{
    Process &process = processes_[index];
    if (!process.isAlive)
        return;
    if (now_ < process.pausedUntil || !process.inbox.empty()) {
        // Events are queued so that their order is kept after the pause.
        process.inbox.push_back(event);
        if (process.inbox.size() == 1)
            resume(index);
        return;
    }
    handle(index, event);
}

void PlacementSimulation::resume(std::size_t index)
{
    at(processes_[index].pausedUntil, [this, index] {
        Process &process = processes_[index];
        if (now_ < process.pausedUntil) {
            resume(index);
            return;
        }
        const std::vector<PlannerEvent> events = std::move(process.inbox);
        process.inbox.clear();
        for (const PlannerEvent &event : events)
            handle(index, event);
    });
}

void PlacementSimulation::handle(std::size_t index, const PlannerEvent &event)
{
    Process &process = processes_[index];
    for (const PlannerAction &action : process.planner->handle(event, now_))
        std::visit([this, index](const auto &each) { perform(index, each); }, action);
    if (process.planner->nextTimer() < process.tickAt)
        tick(index, process.planner->nextTimer());
}

void PlacementSimulation::tick(std::size_t index, core::TimePoint due)
{
    processes_[index].tickAt = due;
    at(due, [this, index, due] {
        Process &process = processes_[index];
        if (!process.isAlive || process.tickAt != due)
            return;
        process.tickAt = core::TimePoint::max();
        deliver(index, PlacementTick {});
        if (process.tickAt == core::TimePoint::max())
            tick(index, now_ + std::chrono::seconds(1));
    });
}

void PlacementSimulation::sendOut(std::size_t index, const std::function<void()> &action)
{
    at(now_ + randomDelay(Millis(1)), [this, index, action] {
        const Process &process = processes_[index];
        if (!process.isAlive)
            return;
        if (now_ < process.pausedUntil)
            at(process.pausedUntil, [this, index, action] { sendOut(index, action); });
        else
            action();
    });
}

void PlacementSimulation::send(std::size_t index, const PlannerEvent &event)
{
    deliver(index, event);
}

void PlacementSimulation::requestColdStart(std::size_t index, const Artifact &artifact,
                                           core::Duration timeout)
{
    const std::uint64_t request = deadlines_.size() + 1;
    deadlines_.emplace(request, now_ + timeout);
    deliver(index,
            ColdStartRequested {core::InstanceId {"caller"}, request, artifact, now_ + timeout});
}

void PlacementSimulation::setPlanner(std::size_t index, bool isPlanner)
{
    processes_[index].isPlanner = isPlanner;
    deliver(index, RoleChanged {isPlanner});
    if (isPlanner)
        readPlatform(index);
}

void PlacementSimulation::readPlatform(std::size_t index)
{
    at(now_ + randomDelay(delays.call), [this, index] {
        if (isOutage()) {
            at(outageUntil_, [this, index] { readPlatform(index); });
            return;
        }
        const PlatformSnapshot snapshot = platform_.list();
        at(now_ + randomDelay(delays.call), [this, index, snapshot] { deliver(index, snapshot); });
    });
}

void PlacementSimulation::pause(std::size_t index, core::Duration duration)
{
    processes_[index].pausedUntil = now_ + duration;
}

void PlacementSimulation::kill(std::size_t index)
{
    processes_[index].isAlive = false;
    at(now_ + kInstanceRemovalDelay, [this, index] {
        publish(InstanceRemoved {core::InstanceId {"node-" + std::to_string(index)}});
    });
}

void PlacementSimulation::startOutage(core::Duration duration)
{
    outageUntil_ = now_ + duration;
    for (std::size_t i = 0; i < processes_.size(); ++i)
        deliver(i, PlatformReachable {false});
    at(outageUntil_, [this] {
        if (isOutage())
            return;
        for (std::size_t i = 0; i < processes_.size(); ++i) {
            deliver(i, PlatformReachable {true});
            readPlatform(i);
        }
    });
}

void PlacementSimulation::killEngine(std::size_t index)
{
    ++engineGenerations_[index];
    engines_[index].crash();
}

std::size_t PlacementSimulation::loadsOf(const Artifact &artifact) const
{
    const auto found = loadsOf_.find(artifact);
    return found == loadsOf_.end() ? 0 : found->second;
}

void PlacementSimulation::publish(const PlannerEvent &event)
{
    for (std::size_t i = 0; i < processes_.size(); ++i)
        at(now_ + randomDelay(delays.call), [this, i, event] { deliver(i, event); });
}

void PlacementSimulation::perform(std::size_t index, const WriteModel &action)
{
    sendOut(index, [this, index, action] { put(index, action); });
}

void PlacementSimulation::perform(std::size_t index, const WriteTarget &action)
{
    if (settings_.disabledMechanism == DisabledMechanism::ReservationBeforeOrder
        && addsReservation(action)) {
        const WriteAnswered prematureAnswer {action.record.writer, WriteOutcome::Applied,
                                             action.ifVersion + 1};
        at(now_, [this, index, prematureAnswer] { deliver(index, prematureAnswer); });
    }
    sendOut(index, [this, index, action] { put(index, action); });
}

template<class Write>
void PlacementSimulation::put(std::size_t index, const Write &write)
{
    const core::TimePoint sentAt = now_;
    at(now_ + randomDelay(delays.call), [this, index, write, sentAt] {
        const bool isLost = isOutage() || randomBool(delays.lostAnswerPercent);
        const bool isModel = std::is_same_v<Write, WriteModel>;
        bool isConditional =
            !(isModel && settings_.disabledMechanism == DisabledMechanism::Coalescing);
        if (!isOutage() || randomBool(20)) {
            const auto result = platform_.put(write, isConditional);
            if (result.isApplied)
                publish(makeRead(result.current));
            if (!isLost) {
                answerPut(index, makeAnswer(write, result), sentAt);
                return;
            }
        }
        if (settings_.disabledMechanism == DisabledMechanism::RecognisingOwnWrites) {
            at(now_ + Millis(500), [this, index, write] {
                const auto result = platform_.put(write, false);
                publish(makeRead(result.current));
                answerPut(index, makeAnswer(write, result), now_);
            });
            return;
        }
        at(sentAt + delays.answerLimit, [this, index, write] {
            deliver(index, WriteAnswered {write.record.writer, WriteOutcome::Unknown, 0});
        });
    });
}

void PlacementSimulation::answerPut(std::size_t index, const WriteAnswered &answer,
                                    core::TimePoint sentAt)
{
    const core::TimePoint arrival = now_ + randomDelay(delays.call);
    const core::TimePoint limit = sentAt + delays.answerLimit;
    if (arrival <= limit)
        at(arrival, [this, index, answer] { deliver(index, answer); });
    else
        at(limit, [this, index, answer] {
            deliver(index, WriteAnswered {answer.write, WriteOutcome::Unknown, 0});
        });
}

void PlacementSimulation::perform(std::size_t index, const SendOrder &action)
{
    onOrder(index, action);
    sendOut(index, [this, index, action] {
        const core::TimePoint sentAt = now_;
        at(now_ + randomDelay(delays.order),
           [this, index, action, sentAt] { arrive(index, action, sentAt); });
        // The planner ignores whichever of the answer and the time-out comes second.
        at(now_ + delays.answerLimit, [this, index, action] {
            const bool isTreatedAsNotSent =
                settings_.disabledMechanism == DisabledMechanism::HoldingUnconfirmedOrders;
            deliver(
                index,
                OrderAnswered {action.order,
                               isTreatedAsNotSent ? OrderOutcome::NotSent : OrderOutcome::Unknown});
        });
    });
}

void PlacementSimulation::arrive(std::size_t index, const SendOrder &order, core::TimePoint sentAt)
{
    FakeEngine &engine = engines_[engineIndex_.at(order.target)];
    const OrderOutcome outcome = engine.receive(order);
    if (outcome == OrderOutcome::Accepted) {
        if (order.kind == OrderKind::Load)
            checkLoad(order, engine);
        startExecution(engine, order);
    }
    const core::TimePoint arrival = now_ + randomDelay(delays.call);
    if (!randomBool(delays.lostAnswerPercent) && arrival <= sentAt + delays.answerLimit)
        at(arrival, [this, index, order, outcome] {
            deliver(index, OrderAnswered {order.order, outcome});
        });
}

void PlacementSimulation::checkLoad(const SendOrder &order, const FakeEngine &engine)
{
    ++loadCount_;
    ++loadsOf_[order.artifact];
    const std::string name = modelKey(order.artifact) + " on " + order.target.value;
    if (engine.usedMiB() > engine.settings().memoryMiB)
        violations_.push_back("memory overcommitted by " + name);
    if (!platform_.isDecided(order.artifact, {order.target, order.order}))
        violations_.push_back("loaded without a decision: " + name);
    std::size_t replicas = 0;
    for (const FakeEngine &each : engines_) {
        replicas += static_cast<std::size_t>(std::count_if(
            each.loaded().begin(), each.loaded().end(),
            [&order](const LoadedWeights &weights) { return weights.artifact == order.artifact; }));
    }
    if (replicas > platform_.decidedCount(order.artifact))
        violations_.push_back("more replicas than decided: " + name);
}

void PlacementSimulation::startExecution(FakeEngine &engine, const SendOrder &order)
{
    const std::size_t index = engineIndex_.at(order.target);
    const std::uint64_t generation = engineGenerations_[index];
    if (order.kind == OrderKind::Unload) {
        at(now_ + delays.unload, [this, &engine, order, index, generation] {
            if (engineGenerations_[index] == generation)
                engine.finishUnload(order.artifact);
        });
        return;
    }
    const CheckpointTier tier = engine.placeOf(order.artifact);
    const bool isRemote = tier == CheckpointTier::Remote && !order.artifact.isAdapter();
    unsigned &running = order.artifact.isAdapter() ? adapterLoads_ : remoteLoads_;
    const bool isCounted = isRemote || order.artifact.isAdapter();
    if (isCounted)
        ++running;
    const core::Duration time = settings_.loadTime(tier, order.artifact, order.memoryMiB, running);
    at(now_ + time, [this, &engine, &running, order, index, generation, isCounted] {
        if (isCounted && running > 0)
            --running;
        if (engineGenerations_[index] == generation)
            engine.finishLoad(order.order);
    });
}

void PlacementSimulation::perform(std::size_t index, const ReplicaStateChanged &action)
{
    onReplicaStateChanged(index, action);
    if (action.state == ReplicaState::Draining)
        drain(index, action);
}

void PlacementSimulation::drain(std::size_t index, const ReplicaStateChanged &change)
{
    at(now_ + randomDelay(delays.drain), [this, index, change] {
        if (isBusy(change.artifact, change.target))
            drain(index, change);
        else
            deliver(index, ReplicaDrained {change.artifact, change.target, change.drain});
    });
}

void PlacementSimulation::perform(std::size_t index, const ColdStartAnswered &action)
{
    onAnswer(index, action);
}

void PlacementSimulation::poll(std::size_t index)
{
    if (processes_[index].isPlanner) {
        for (const FakeEngine &engine : engines_) {
            const EngineReported event {engine.settings().target, engine.report()};
            at(now_ + randomDelay(delays.reportLag),
               [this, index, event] { deliver(index, event); });
        }
    }
    at(now_ + delays.reportInterval, [this, index] { poll(index); });
}

} // namespace boragerack::decisions
