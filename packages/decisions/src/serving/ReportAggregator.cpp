#include "boragerack/decisions/serving/ReportAggregator.h"

#include <algorithm>
#include <utility>

namespace boragerack::decisions {

namespace {

template<class Record>
void append(std::vector<Record> &records, const std::vector<Record> &added)
{
    records.insert(records.end(), added.begin(), added.end());
}

bool hasWaitingRequests(const CoordinationReport &report)
{
    return report.isStopping || !report.crashes.empty() || !report.refusals.empty()
        || !report.rates.empty()
        || std::ranges::any_of(report.permits,
                               [](const PermitRequest &request) { return request.waiting > 0; })
        || std::ranges::any_of(report.demands,
                               [](const ArtifactDemand &demand) { return demand.waiting > 0; })
        || std::ranges::any_of(report.wanted,
                               [](const TokenRequest &request) { return request.waiting > 0; });
}

} // namespace

ReportAggregator::ReportAggregator(core::InstanceId self)
    : self_(std::move(self))
{
}

void ReportAggregator::add(const CoordinationReport &report, core::TimePoint now)
{
    Source &source = sources_[report.member.instance];
    // Arrivals that were not taken yet must not be lost.
    std::vector<ArtifactDemand> arrivals;
    if (source.isNew)
        arrivals = std::move(source.last.demands);
    auto uses = std::move(source.last.uses);
    source = {report, now, true};
    if (!source.last.uses)
        source.last.uses = std::move(uses);
    for (ArtifactDemand &demand : arrivals) {
        if (demand.arrived == 0 && demand.longPromptTokens == 0)
            continue;
        demand.waiting = 0;
        demand.waitingForRoom = 0;
        source.last.demands.push_back(std::move(demand));
    }
    for (quarantine::CrashReport &crash : std::exchange(source.last.crashes, {})) {
        if (crashes_.size() < kMaxHeldCrashes)
            crashes_.push_back({std::move(crash), now});
    }
    addRates(std::exchange(source.last.rates, {}), now);
    append(completed_, std::exchange(source.last.completed, {}));
    append(refusals_, std::exchange(source.last.refusals, {}));
    isUrgent_ = isUrgent_ || hasWaitingRequests(report);
}

CoordinationReport ReportAggregator::take(core::TimePoint now)
{
    std::erase_if(sources_, [&](const auto &item) {
        return item.first != self_ && now - item.second.at >= kChildTimeout;
    });
    CoordinationReport merged;
    mergeDemands(now, merged);
    mergeUses(merged);
    mergeCrashes(now, merged);
    mergeRates(now, merged);
    merged.completed = std::exchange(completed_, {});
    merged.refusals = std::exchange(refusals_, {});
    for (auto &[instance, source] : sources_) {
        CoordinationReport &last = source.last;
        if (instance == self_) {
            merged.member = last.member;
            merged.isStopping = last.isStopping;
            merged.configurationVersion = last.configurationVersion;
            merged.isPlatformLost = last.isPlatformLost;
            if (source.isNew) {
                merged.wanted = last.wanted;
                merged.permits = last.permits;
            }
        } else if (source.isNew) {
            merged.children.push_back({last.member, last.isStopping, last.wanted, last.permits});
        }
        source.isNew = false;
        // Arrivals count once; requests that wait do so until the next report.
        std::erase_if(last.demands, [](const ArtifactDemand &demand) {
            return demand.waiting == 0 && demand.waitingForRoom == 0;
        });
        for (ArtifactDemand &demand : last.demands) {
            demand.arrived = 0;
            demand.longPromptTokens = 0;
        }
    }
    isUrgent_ = false;
    return merged;
}

void ReportAggregator::mergeDemands(core::TimePoint now, CoordinationReport &merged) const
{
    std::map<Artifact, ArtifactDemand> totals;
    for (const auto &[instance, source] : sources_) {
        const auto age = std::chrono::floor<std::chrono::milliseconds>(now - source.at);
        for (const ArtifactDemand &demand : source.last.demands) {
            ArtifactDemand &total =
                totals.try_emplace(demand.artifact, ArtifactDemand {.artifact = demand.artifact})
                    .first->second;
            total.service = demand.service;
            total.arrived += demand.arrived;
            total.longPromptTokens += demand.longPromptTokens;
            total.waitingForRoom += demand.waitingForRoom;
            if (demand.waiting == 0)
                continue;
            // The most urgent request has the least time left to its target latency.
            const auto wait = demand.oldestWait + age;
            if (total.waiting == 0
                || demand.targetLatency - wait < total.targetLatency - total.oldestWait) {
                total.targetLatency = demand.targetLatency;
                total.oldestWait = wait;
            }
            total.waiting += demand.waiting;
        }
    }
    for (auto &[artifact, demand] : totals)
        merged.demands.push_back(std::move(demand));
}

void ReportAggregator::mergeCrashes(core::TimePoint now, CoordinationReport &merged)
{
    for (auto &[crash, receivedAt] : std::exchange(crashes_, {})) {
        const auto held = std::chrono::floor<std::chrono::milliseconds>(now - receivedAt);
        crash.sentAge += held;
        crash.crashAge += held;
        merged.crashes.push_back(std::move(crash));
    }
}

void ReportAggregator::addRates(const std::vector<RateObservation> &rates, core::TimePoint now)
{
    for (const RateObservation &rate : rates) {
        const core::TimePoint observedAt = now - rate.age;
        const auto [position, isNew] = rates_.try_emplace(rate.process);
        if (isNew || position->second.observedAt <= observedAt)
            position->second = {rate.requestsPerSecond, observedAt};
    }
}

void ReportAggregator::mergeRates(core::TimePoint now, CoordinationReport &merged)
{
    for (const auto &[process, rate] : std::exchange(rates_, {})) {
        merged.rates.push_back(
            {process, rate.requestsPerSecond,
             std::chrono::floor<std::chrono::milliseconds>(now - rate.observedAt)});
    }
}

void ReportAggregator::mergeUses(CoordinationReport &merged) const
{
    std::map<std::pair<core::TargetId, Artifact>, std::uint32_t> totals;
    for (const auto &[instance, source] : sources_) {
        for (const ArtifactInFlight &use :
             source.last.uses.value_or(std::vector<ArtifactInFlight>()))
            totals[{use.target, use.artifact}] += use.inFlight;
    }
    merged.uses.emplace();
    for (const auto &[key, inFlight] : totals)
        merged.uses->push_back({key.first, key.second, inFlight});
}

std::size_t ReportAggregator::childCount() const
{
    return sources_.size() - (sources_.contains(self_) ? 1 : 0);
}

} // namespace boragerack::decisions
