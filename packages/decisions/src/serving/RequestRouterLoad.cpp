// Requests of interactive services: placement by the predicted time to the first piece, ordered
// waiting for room on the targets, and refusals.

#include <algorithm>
#include <chrono>

#include "boragerack/core/RandomSource.h"
#include "boragerack/decisions/ReplicaSelector.h"
#include "boragerack/decisions/serving/RequestRouter.h"

namespace boragerack::decisions {

namespace {

/// Without a deadline the request may wait for as long as any route allows.
constexpr std::chrono::seconds kLongestTimeLeft(30);

constexpr std::uint64_t kDrawSteps = 1024;

} // namespace

const InteractiveService *RequestRouter::interactiveService(const core::ServiceId &service) const
{
    const auto position = interactive_.find(service);
    return position == interactive_.end() ? nullptr : &position->second;
}

bool RequestRouter::isOrdered(const RouteRequirements &demand) const
{
    return demand.artifact && demand.only.empty() && demand.avoid.empty()
        && interactive_.contains(demand.service);
}

std::uint32_t RequestRouter::windowOf(const TargetEntry &entry, const InteractiveService &service,
                                      const RequestWork &work, core::TimePoint now) const
{
    return DispatchWindow::size(service, work_.occupancy(entry.process(), service, work, now));
}

void RequestRouter::predict(std::vector<ReplicaCandidate> &replicas,
                            const RouteRequirements &demand, const InteractiveService &service,
                            core::TimePoint now, bool yields) const
{
    for (ReplicaCandidate &replica : replicas) {
        const TargetEntry &entry = entries_->at(replica.target);
        const TargetProcess process = entry.process();
        const std::uint32_t others = window_.others(replica.target);
        replica.predictedTime = work_.predict(process, service, demand.work, others, now);
        if (rates_.rateOf(process))
            continue;
        const std::uint32_t size = windowOf(entry, service, demand.work, now);
        replica.isFull =
            !window_.hasRoom(replica.target, replica.outstanding, size, service, yields, now);
    }
}

void RequestRouter::updateQuotas(const std::vector<TargetLoad> &loads, core::TimePoint now)
{
    for (const TargetLoad &load : loads) {
        const auto entry = entries_->find(load.target);
        if (entry == entries_->end())
            continue;
        if (const InteractiveService *service = interactiveService(entry->second.service))
            window_.updateQuota(load.target, windowOf(entry->second, *service, {}, now), *service,
                                static_cast<double>(random_.next() % kDrawSteps) / kDrawSteps);
    }
}

bool RequestRouter::hasReadyTarget(const RouteRequirements &demand, core::TimePoint now) const
{
    return std::ranges::any_of(*entries_, [&](const auto &item) {
        return isUsable(item.second, demand, now) && !needsPermit(item.second, now);
    });
}

void RequestRouter::wait(std::uint64_t request, const RouteRequirements &demand,
                         core::TimePoint now)
{
    if (!isOrdered(demand)) {
        waiting_.emplace(request, Waiting {demand, now});
        hasNewlyWaiting_ = true;
        return;
    }
    const bool hasReplica = hasReadyTarget(demand, now);
    const AdmissionForecast expected = forecast(demand, now);
    if (hasReplica) {
        if (const auto retryAfter = admission_.refuse(expected)) {
            refusals_.push_back({request, *retryAfter});
            return;
        }
    }
    waiting_.emplace(request, Waiting {demand, now});
    // Without a target latency, the request is on time until its deadline.
    const core::Duration target =
        demand.targetLatency.count() > 0 ? core::Duration(demand.targetLatency) : expected.timeLeft;
    queue_.push(*demand.artifact,
                {request, demand.organisation, demand.priority, now,
                 now + target - expected.queuedFirstPiece},
                hasReplica);
    hasNewlyWaiting_ = hasNewlyWaiting_ || !hasReplica;
}

AdmissionForecast RequestRouter::forecast(const RouteRequirements &demand,
                                          core::TimePoint now) const
{
    const InteractiveService &service = interactive_.at(demand.service);
    const DispatchQueue::Group *group = queue_.find(*demand.artifact);
    const double sameArtifact = 1.0 + (group ? static_cast<double>(group->order->size()) : 0);
    const auto counts = queue_.sizes();
    double requestsPerSecond = 0;
    core::Duration queuedPieces = {};
    int targets = 0;
    AdmissionForecast result;
    for (const auto &[target, entry] : *entries_) {
        if (!isUsable(entry, demand, now))
            continue;
        const TargetProcess process = entry.process();
        const auto occupancy = work_.occupancy(process, service, demand.work, now);
        // The other nodes and the other artifacts of the target share its slots.
        const double own = outstanding(target) + 1.0;
        const double nodeShare = own / (own + window_.others(target));
        double waiting = 1;
        for (const auto &[artifact, count] : counts)
            waiting += serves(entry, artifact) ? static_cast<double>(count) : 0;
        requestsPerSecond += service.slots
            / std::max(0.001, std::chrono::duration<double>(occupancy).count()) * nodeShare
            * std::min(1.0, sameArtifact / waiting);
        const auto firstPiece = work_.predict(process, service, demand.work, 0, now);
        result.firstPiece = targets == 0 ? firstPiece : std::min(result.firstPiece, firstPiece);
        // A request that has waited is the last one of a full window.
        const std::uint32_t size = windowOf(entry, service, demand.work, now);
        const std::uint32_t before = size - std::min(size, outstanding(target) + 1);
        queuedPieces += work_.predict(process, service, demand.work, before, now);
        ++targets;
    }
    if (targets > 0)
        result.queuedFirstPiece = queuedPieces / targets;
    const double ahead = group ? static_cast<double>(group->order->ahead(demand.organisation)) : 0;
    if (requestsPerSecond > 0)
        result.drain = std::chrono::duration_cast<core::Duration>(
            std::chrono::duration<double>(ahead / requestsPerSecond));
    result.timeLeft = demand.deadline == core::TimePoint() ? core::Duration(kLongestTimeLeft)
                                                           : demand.deadline - now;
    return result;
}

std::optional<std::chrono::milliseconds> RequestRouter::retryAfter(const RouteRequirements &demand,
                                                                   core::TimePoint now)
{
    if (!isOrdered(demand))
        return std::nullopt;
    return admission_.retryAfter(forecast(demand, now));
}

void RequestRouter::grantInOrder(const Artifact &artifact, core::TimePoint now,
                                 std::vector<Action> &actions)
{
    while (DispatchQueue::Group *group = queue_.find(artifact)) {
        const auto first = group->order->first(now);
        if (!first)
            return;
        const auto position = waiting_.find(first->request);
        const core::Duration waited = now - position->second.since;
        // Other nodes may have requests that can still meet their target latency.
        const bool yields = first->latestSend < now && !group->order->isDue();
        const TargetEntry *entry = choose(position->second.demand, now, yields);
        if (!entry) {
            const bool hadReplica =
                std::exchange(group->hasReplica, hasReadyTarget(position->second.demand, now));
            // Their target has left, so the coordinator has to load the artifact elsewhere.
            hasNewlyWaiting_ = hasNewlyWaiting_ || (hadReplica && !group->hasReplica);
            return;
        }
        queue_.take(artifact, *first);
        grant(first->request, position->second.demand, *entry, now, actions);
        actions.back().waited = waited;
        waiting_.erase(position);
    }
}

void RequestRouter::grantForTarget(const core::TargetId &target, core::TimePoint now,
                                   std::vector<Action> &actions)
{
    const auto entry = entries_->find(target);
    if (entry == entries_->end())
        return;
    for (const Artifact &artifact : queue_.artifacts(now)) {
        if (serves(entry->second, artifact))
            grantInOrder(artifact, now, actions);
    }
}

void RequestRouter::refuseExpired(core::TimePoint now)
{
    std::vector<std::uint64_t> expired;
    for (const auto &[request, waiting] : waiting_) {
        const core::TimePoint deadline = waiting.demand.deadline;
        if (deadline != core::TimePoint() && deadline <= now && queue_.contains(request))
            expired.push_back(request);
    }
    for (const std::uint64_t request : expired) {
        refusals_.push_back({request, admission_.retryAfter({})});
        queue_.remove(request);
        waiting_.erase(request);
    }
}

} // namespace boragerack::decisions
