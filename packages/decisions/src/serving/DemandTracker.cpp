#include "boragerack/decisions/serving/DemandTracker.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace boragerack::decisions {

namespace {

/// Time constant of the exponential average of request rates.
constexpr double kRateTimeConstantSeconds = 4;
/// Longest time for which a request of a node that no longer reports may run: the timeout of a
/// route without one of its own.
constexpr std::chrono::seconds kMaxRequestTime(30);

double decay(core::Duration age)
{
    return std::exp(-std::max(0.0, std::chrono::duration<double>(age).count())
                    / kRateTimeConstantSeconds);
}

} // namespace

void DemandTracker::report(const core::InstanceId &node, const std::vector<ArtifactDemand> &demands,
                           const std::optional<std::vector<ArtifactInFlight>> &uses,
                           core::TimePoint now)
{
    for (const ArtifactDemand &demand : demands) {
        Usage &usage = usage_[demand.artifact.model];
        const double remaining = decay(now - usage.updatedAt);
        usage.rate = usage.rate * remaining + demand.arrived / kRateTimeConstantSeconds;
        usage.longPromptTokens = usage.longPromptTokens * remaining
            + static_cast<double>(demand.longPromptTokens) / kRateTimeConstantSeconds;
        usage.updatedAt = now;
        usage.lastUse = now;
    }
    suspended_.erase(node);
    NodeReport &report = nodes_[node];
    report.at = now;
    report.demands.clear();
    std::ranges::copy_if(demands, std::back_inserter(report.demands),
                         [](const ArtifactDemand &demand) {
                             return demand.waiting > 0 || demand.waitingForRoom > 0;
                         });
    if (uses) {
        subtract(report.uses);
        report.uses = *uses;
        add(report.uses);
    }
    for (const ArtifactInFlight &use : report.uses)
        usage_[use.artifact.model].lastUse = now;
}

void DemandTracker::suspendNode(const core::InstanceId &node, core::TimePoint now)
{
    const auto position = nodes_.find(node);
    if (position == nodes_.end())
        return;
    SuspendedUses suspended {position->second.uses, now + kMaxRequestTime};
    removeNode(node);
    if (!suspended.uses.empty())
        suspended_.insert_or_assign(node, std::move(suspended));
}

void DemandTracker::dropExpired(core::TimePoint now)
{
    std::erase_if(suspended_, [now](const auto &item) { return now >= item.second.expiresAt; });
}

void DemandTracker::removeNode(const core::InstanceId &node)
{
    suspended_.erase(node);
    const auto position = nodes_.find(node);
    if (position == nodes_.end())
        return;
    subtract(position->second.uses);
    nodes_.erase(position);
}

void DemandTracker::add(const std::vector<ArtifactInFlight> &uses)
{
    for (const ArtifactInFlight &use : uses) {
        if (use.inFlight == 0)
            continue;
        artifactLoads_[use.artifact] += use.inFlight;
        targetLoads_[use.target] += use.inFlight;
        ModelLoad &load = modelLoads_[use.artifact.model];
        load.inFlight += use.inFlight;
        load.byTarget[use.target] += use.inFlight;
    }
}

void DemandTracker::subtract(const std::vector<ArtifactInFlight> &uses)
{
    const auto decrease = [](auto &loads, const auto &key, std::uint32_t amount) {
        const auto position = loads.find(key);
        if ((position->second -= amount) == 0)
            loads.erase(position);
    };
    for (const ArtifactInFlight &use : uses) {
        if (use.inFlight == 0)
            continue;
        decrease(artifactLoads_, use.artifact, use.inFlight);
        decrease(targetLoads_, use.target, use.inFlight);
        const auto load = modelLoads_.find(use.artifact.model);
        decrease(load->second.byTarget, use.target, use.inFlight);
        if ((load->second.inFlight -= use.inFlight) == 0)
            modelLoads_.erase(load);
    }
}

std::map<Artifact, FleetDemand> DemandTracker::demands(core::TimePoint now) const
{
    std::map<Artifact, FleetDemand> result;
    for (const auto &[artifact, count] : artifactLoads_)
        result.emplace_hint(result.end(), artifact, FleetDemand {{}, 0, count, {}, {}});
    for (const auto &[node, report] : nodes_) {
        for (const ArtifactDemand &demand : report.demands) {
            FleetDemand &total = result[demand.artifact];
            total.waitingForRoom += demand.waitingForRoom;
            if (demand.waiting == 0)
                continue;
            const auto wait =
                demand.oldestWait + std::chrono::floor<std::chrono::milliseconds>(now - report.at);
            if (total.waiting == 0
                || demand.targetLatency - wait < total.targetLatency - total.oldestWait) {
                total.targetLatency = demand.targetLatency;
                total.oldestWait = wait;
            }
            total.service = demand.service;
            total.waiting += demand.waiting;
        }
    }
    return result;
}

bool DemandTracker::isPossiblyInUse(const core::TargetId &target, const Artifact &artifact) const
{
    if (artifactLoads_.contains(artifact))
        return true;
    return std::ranges::any_of(suspended_, [&](const auto &item) {
        return std::ranges::any_of(item.second.uses, [&](const ArtifactInFlight &use) {
            return use.target == target && use.artifact == artifact && use.inFlight > 0;
        });
    });
}

std::uint32_t DemandTracker::inFlight(const core::TargetId &target,
                                      const core::ModelId &model) const
{
    const auto load = modelLoads_.find(model);
    if (load == modelLoads_.end())
        return 0;
    const auto position = load->second.byTarget.find(target);
    return position == load->second.byTarget.end() ? 0 : position->second;
}

std::uint32_t DemandTracker::inFlight(const core::TargetId &target) const
{
    const auto position = targetLoads_.find(target);
    return position == targetLoads_.end() ? 0 : position->second;
}

std::uint32_t DemandTracker::inFlight(const core::ModelId &model) const
{
    const auto position = modelLoads_.find(model);
    return position == modelLoads_.end() ? 0 : position->second.inFlight;
}

std::vector<TargetLoad> DemandTracker::loads() const
{
    std::vector<TargetLoad> loads;
    loads.reserve(targetLoads_.size());
    for (const auto &[target, count] : targetLoads_)
        loads.push_back({target, count});
    return loads;
}

double DemandTracker::rate(const core::ModelId &model, core::TimePoint now) const
{
    const auto position = usage_.find(model);
    if (position == usage_.end())
        return 0;
    return position->second.rate * decay(now - position->second.updatedAt);
}

std::map<core::ModelId, double> DemandTracker::longPromptRates(core::TimePoint now) const
{
    std::map<core::ModelId, double> rates;
    for (const auto &[model, usage] : usage_) {
        if (usage.longPromptTokens == 0)
            continue;
        const double rate = usage.longPromptTokens * decay(now - usage.updatedAt);
        if (rate >= 1)
            rates.emplace_hint(rates.end(), model, rate);
    }
    return rates;
}

core::TimePoint DemandTracker::lastUse(const core::ModelId &model) const
{
    const auto position = usage_.find(model);
    return position == usage_.end() ? core::TimePoint() : position->second.lastUse;
}

} // namespace boragerack::decisions
