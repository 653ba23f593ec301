// Engine reports, in-flight counts and draining of the placement task.
#include "PlacementTask.h"

#include <utility>

#include "EngineJson.h"

namespace boragerack::node {

namespace {

constexpr std::chrono::milliseconds kReportTimeout(1000);
/// Consecutive missed reports after which a target is unreachable; one lost response is tolerated.
constexpr unsigned kMissedReports = 2;
constexpr unsigned kStatusOk = 200;
constexpr std::chrono::milliseconds kUseInterval(1000);

} // namespace

bool PlacementTask::hasLoadInProgress(const core::TargetId &target) const
{
    for (const auto &[artifact, replica] : loadPlanner_.ledger().replicasOn(target)) {
        if (replica.state != decisions::ReplicaState::Ready
            && replica.state != decisions::ReplicaState::Draining)
            return true;
    }
    return false;
}

void PlacementTask::pollReports()
{
    if (!isPlanner())
        return;
    for (const auto &[target, engine] : engines_) {
        const auto interval = hasLoadInProgress(target) ? kBusyReportInterval : reportInterval_;
        if (!reportsInProgress_.contains(target) && clock_.now() - reportedAt_[target] >= interval)
            startReport(target);
    }
}

void PlacementTask::startReport(const core::TargetId &target)
{
    reportsInProgress_.insert(target);
    reportedAt_[target] = clock_.now();
    fibers_.start([this, target, address = engines_.at(target).address] {
        // On a kept connection, a repeated earlier report could not be distinguished from the
        // current one.
        const auto response =
            client_.call(address, {"GET", "/control/report", {}, ""}, clock_.now() + kReportTimeout,
                         runtime::ConnectionUse::SingleUse);
        const bool isAnswered = core::isOk(response) && core::valueOf(response).status == kStatusOk;
        static_cast<void>(mailbox_.send(ReportFetched {target, isAnswered}));
        if (!isAnswered)
            return;
        const auto report = parseEngineReport(core::valueOf(response).body);
        if (core::isOk(report))
            static_cast<void>(
                mailbox_.send(decisions::EngineReported {target, core::valueOf(report)}));
    });
}

void PlacementTask::on(const decisions::TargetReachable &message)
{
    // Only the planner requests reports, and only a report marks a target as reachable again.
    if (!isPlanner())
        return;
    missedReports_[message.target] = kMissedReports;
    handleEvent(message);
}

void PlacementTask::on(const ReportFetched &message)
{
    reportsInProgress_.erase(message.target);
    unsigned &missed = missedReports_[message.target];
    const bool wasReachable = missed < kMissedReports;
    missed = message.isAnswered ? 0 : missed + 1;
    const bool isReachable = missed < kMissedReports;
    if (isReachable != wasReachable)
        handleEvent(decisions::TargetReachable {message.target, isReachable});
}

void PlacementTask::finishDrains()
{
    for (auto drain = drains_.begin(); drain != drains_.end();) {
        const ReplicaKey key = drain->first;
        bool isUsed = false;
        for (const auto &[node, uses] : usesByNode_) {
            const auto use = uses.find(key);
            isUsed = isUsed || (use != uses.end() && use->second > 0);
        }
        if (isUsed || clock_.now() < drain->second.notBefore) {
            ++drain;
            continue;
        }
        const std::uint64_t number = drain->second.number;
        drains_.erase(drain);
        handleEvent(decisions::ReplicaDrained {key.second, key.first, number});
        // The event may have changed the map; the next call continues from the start.
        break;
    }
}

void PlacementTask::countReplicaTime()
{
    const auto elapsed =
        std::chrono::duration_cast<std::chrono::seconds>(clock_.now() - countedAt_);
    if (elapsed.count() < 1)
        return;
    if (countedAt_ == core::TimePoint()) {
        countedAt_ = clock_.now();
        return;
    }
    countedAt_ += elapsed;
    if (!isPlanner())
        return;
    for (const auto &[target, engine] : engines_) {
        for (const auto &[artifact, replica] : loadPlanner_.ledger().replicasOn(target)) {
            if (artifact.isAdapter() || replica.state != decisions::ReplicaState::Ready)
                continue;
            bool isUsed = false;
            for (const auto &[node, uses] : usesByNode_) {
                const auto use = uses.find({target, artifact});
                isUsed = isUsed || (use != uses.end() && use->second > 0);
            }
            const std::string labels = runtime::makeLabels({{"model", artifact.model.value}});
            const auto seconds = static_cast<std::uint64_t>(elapsed.count());
            metrics_.add("boragerack_replica_seconds_total", labels, seconds);
            metrics_.add("boragerack_idle_accelerator_seconds_total", labels, isUsed ? 0 : seconds);
        }
    }
}

void PlacementTask::sendUses()
{
    if (isPlanner() || planner_.value.empty() || clock_.now() - usesSentAt_ < kUseInterval)
        return;
    usesSentAt_ = clock_.now();
    std::vector<decisions::ReplicaUsed> changed;
    for (const auto &[key, inFlight] : uses_) {
        const auto reported = reportedUses_.find(key);
        // A replica in use is reported each time, so that a new planner learns of it.
        if (inFlight > 0 || reported == reportedUses_.end() || reported->second != inFlight)
            changed.push_back({identity_.instance, key.second, key.first, inFlight});
    }
    if (changed.empty())
        return;
    reportedUses_ = uses_;
    fibers_.start(
        [this, planner = planner_, changed] { plannerClient_.reportInFlight(planner, changed); });
}

} // namespace boragerack::node
