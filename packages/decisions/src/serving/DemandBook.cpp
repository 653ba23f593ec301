#include "boragerack/decisions/serving/DemandBook.h"

#include <algorithm>
#include <cmath>

namespace boragerack::decisions {

namespace {

/// Time over which request rates are averaged.
constexpr double kRateSeconds = 4;

double decay(core::Duration age)
{
    return std::exp(-std::max(0.0, std::chrono::duration<double>(age).count()) / kRateSeconds);
}

} // namespace

void DemandBook::report(const core::InstanceId &node, const std::vector<ArtifactDemand> &demands,
                        const std::vector<ArtifactUse> &uses, core::TimePoint now)
{
    for (const ArtifactDemand &demand : demands) {
        Usage &usage = usage_[demand.artifact.model];
        usage.rate = usage.rate * decay(now - usage.updatedAt) + demand.arrived / kRateSeconds;
        usage.updatedAt = now;
        usage.lastUse = now;
    }
    for (const ArtifactUse &use : uses)
        usage_[use.artifact.model].lastUse = now;
    nodes_[node] = {demands, uses, now};
}

void DemandBook::removeNode(const core::InstanceId &node)
{
    nodes_.erase(node);
}

std::map<Artifact, FleetDemand> DemandBook::demands(core::TimePoint now) const
{
    std::map<Artifact, FleetDemand> result;
    for (const auto &[node, report] : nodes_) {
        for (const ArtifactDemand &demand : report.demands) {
            if (demand.waiting == 0)
                continue;
            FleetDemand &total = result[demand.artifact];
            const auto wait =
                demand.oldestWait + std::chrono::floor<std::chrono::milliseconds>(now - report.at);
            if (total.waiting == 0 || demand.aim - wait < total.aim - total.oldestWait) {
                total.aim = demand.aim;
                total.oldestWait = wait;
            }
            total.service = demand.service;
            total.waiting += demand.waiting;
        }
        for (const ArtifactUse &use : report.uses)
            result[use.artifact].inFlight += use.inFlight;
    }
    return result;
}

std::uint32_t DemandBook::inFlight(const core::TargetId &target, const core::ModelId &model) const
{
    std::uint32_t count = 0;
    for (const auto &[node, report] : nodes_) {
        for (const ArtifactUse &use : report.uses) {
            if (use.target == target && use.artifact.model == model)
                count += use.inFlight;
        }
    }
    return count;
}

std::uint32_t DemandBook::inFlight(const core::TargetId &target) const
{
    std::uint32_t count = 0;
    for (const auto &[node, report] : nodes_) {
        for (const ArtifactUse &use : report.uses)
            count += use.target == target ? use.inFlight : 0;
    }
    return count;
}

std::vector<TargetLoad> DemandBook::loads() const
{
    std::map<core::TargetId, std::uint32_t> counts;
    for (const auto &[node, report] : nodes_) {
        for (const ArtifactUse &use : report.uses)
            counts[use.target] += use.inFlight;
    }
    std::vector<TargetLoad> loads;
    for (const auto &[target, count] : counts)
        loads.push_back({target, count});
    return loads;
}

double DemandBook::rate(const core::ModelId &model, core::TimePoint now) const
{
    const auto position = usage_.find(model);
    if (position == usage_.end())
        return 0;
    return position->second.rate * decay(now - position->second.updatedAt);
}

core::TimePoint DemandBook::lastUse(const core::ModelId &model) const
{
    const auto position = usage_.find(model);
    return position == usage_.end() ? core::TimePoint() : position->second.lastUse;
}

} // namespace boragerack::decisions
