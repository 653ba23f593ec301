// Queues of requests that have no target yet, because they wait for tokens or because the node has
// reached its limit of active requests.

#include "RoutingTask.h"

#include <algorithm>
#include <utility>

#include "boragerack/runtime/EventLog.h"

namespace boragerack::gateway {

namespace {

/// Sets a flag for as long as it exists, also if an exception ends the scope.
class FlagScope
{
public:
    explicit FlagScope(bool &flag)
        : flag_(flag)
    {
        flag_ = true;
    }
    FlagScope(const FlagScope &) = delete;
    FlagScope &operator=(const FlagScope &) = delete;
    ~FlagScope() { flag_ = false; }

private:
    bool &flag_;
};

} // namespace

void RoutingTask::enqueue(const RouteRequest &pendingRequest)
{
    // A request that has waited in the queue for its whole target latency is refused, so that its
    // caller can still use another node.
    core::TimePoint deadline = pendingRequest.deadline;
    if (pendingRequest.requirements.targetLatency.count() > 0)
        deadline = std::min(deadline, clock_.now() + pendingRequest.requirements.targetLatency);
    queue(decisions::RequestArrived {{pendingRequest.request, pendingRequest.organisation,
                                      std::max<std::int64_t>(1, pendingRequest.tokens), 1,
                                      deadline}});
}

void RoutingTask::queue(const decisions::QueueEvent &event)
{
    queueEvents_.push_back(event);
    // A request that is refused as soon as it is served frees the place of the next one. Nested
    // calls would need as much stack as the queue is long.
    if (isHandlingQueue_)
        return;
    const FlagScope handling(isHandlingQueue_);
    while (!queueEvents_.empty()) {
        const decisions::QueueEvent next = std::move(queueEvents_.front());
        queueEvents_.pop_front();
        for (const decisions::QueueAction &action : fairQueue_.handle(next, clock_.now()))
            std::visit([this](const auto &concrete) { perform(concrete); }, action);
    }
}

void RoutingTask::perform(const decisions::ServeRequest &action)
{
    // Requests that end are removed from the queue, so `pending_` still contains this one.
    active_.insert(action.request.request);
    requestTarget(pending_.at(action.request.request));
}

void RoutingTask::perform(const decisions::RefuseRequest &action)
{
    const auto position = pending_.find(action.request);
    if (position == pending_.end())
        return;
    const RouteRequest &pendingRequest = position->second;
    metrics_.add("boragerack_queue_refusals_total",
                 runtime::makeLabels({{"organisation", pendingRequest.organisation.value},
                                      {"reason", core::errorCodeName(action.code)}}));
    constexpr std::chrono::milliseconds kRetryAfter(200);
    pendingRequest.reply.set(core::makeNotRunError(
        core::ErrorCode::QueueFull, "the node has as many requests as it may have",
        router_.retryAfter(pendingRequest.requirements, clock_.now()).value_or(kRetryAfter)));
    pending_.erase(position);
}

void RoutingTask::releaseQueueSlot(std::uint64_t request)
{
    if (active_.erase(request) > 0)
        queue(decisions::CapacityFreed {1});
    else
        queue(decisions::RequestCancelled {request});
}

bool RoutingTask::refuseIfHopeless(const RouteRequest &pendingRequest)
{
    if (const auto wait = router_.knownWait(pendingRequest.requirements, clock_.now());
        !wait || clock_.now() + *wait < pendingRequest.deadline)
        return false;
    const std::uint64_t request = pendingRequest.request;
    // Targets announce pauses to each node, so another node may serve the caller at once.
    pendingRequest.reply.set(core::makeNotRunError(
        core::ErrorCode::NoReadyReplica, "no target accepts the request before its deadline"));
    pending_.erase(request);
    releaseQueueSlot(request);
    return true;
}

void RoutingTask::refuseEvacuated()
{
    std::vector<std::uint64_t> waiting;
    for (const auto &[request, pendingRequest] : pending_) {
        // Requests in a queue are checked when they leave it.
        if (active_.contains(request) || !pendingRequest.isFirst)
            waiting.push_back(request);
    }
    for (const std::uint64_t request : waiting) {
        const auto position = pending_.find(request);
        if (position != pending_.end() && refuseIfHopeless(position->second))
            route(decisions::routing::Withdrawn {request});
    }
}

void RoutingTask::refuseUnservable()
{
    // A refusal frees a place in the queue of requests, and the next request may be refused as
    // well.
    if (isRefusing_)
        return;
    const FlagScope refusing(isRefusing_);
    for (auto refusals = router_.takeRefusals(); !refusals.empty();
         refusals = router_.takeRefusals()) {
        for (const decisions::routing::Refused &refused : refusals) {
            const auto position = pending_.find(refused.request);
            if (position == pending_.end())
                continue;
            const bool isExpired = position->second.deadline <= clock_.now();
            metrics_.add("boragerack_admission_refusals_total",
                         runtime::makeLabels({{"reason", isExpired ? "expired" : "backlog"}}));
            position->second.reply.set(core::makeNotRunError(
                core::ErrorCode::QueueFull,
                "the request cannot begin before its deadline at the present load",
                refused.retryAfter));
            pending_.erase(position);
            releaseQueueSlot(refused.request);
        }
    }
}

void RoutingTask::requestTarget(const RouteRequest &pendingRequest)
{
    if (refuseIfHopeless(pendingRequest))
        return;
    route(decisions::routing::RouteRequested {pendingRequest.request, pendingRequest.requirements});
    hasUrgentReport_ = router_.takeNewlyWaiting() || hasUrgentReport_;
}

bool RoutingTask::takeTokens(const RouteRequest &pendingRequest)
{
    if (!tokenLimiter_.take(pendingRequest.request, pendingRequest.organisation,
                            pendingRequest.tokens))
        return false;
    countTokens("taken", pendingRequest.organisation, pendingRequest.tokens);
    return true;
}

void RoutingTask::serveTokenQueue(bool refuseReported)
{
    const std::size_t reported = std::exchange(reportedTokenQueueSize_, 0);
    std::vector<std::uint64_t> remaining;
    std::vector<std::uint64_t> queue = std::exchange(tokenQueue_, {});
    for (std::size_t i = 0; i < queue.size(); ++i) {
        const auto position = pending_.find(queue[i]);
        if (position == pending_.end())
            continue;
        RouteRequest &pendingRequest = position->second;
        if (takeTokens(pendingRequest)) {
            enqueue(pendingRequest);
        } else if (refuseReported && i < reported) {
            // The report included this request, and the coordinator granted no tokens for it.
            constexpr std::chrono::milliseconds kRetryAfter(500);
            pendingRequest.reply.set(
                core::makeNotRunError(core::ErrorCode::RateLimited,
                                      "the rate of the organisation is used up", kRetryAfter));
            pending_.erase(position);
        } else {
            remaining.push_back(queue[i]);
        }
    }
    tokenQueue_ = std::move(remaining);
    hasUrgentReport_ = hasUrgentReport_ || !tokenQueue_.empty();
    updateWaitingTokens();
}

void RoutingTask::updateWaitingTokens()
{
    std::map<core::OrganisationId, std::int64_t> waiting;
    for (const std::uint64_t request : tokenQueue_) {
        const RouteRequest &pendingRequest = pending_.at(request);
        waiting[pendingRequest.organisation] += pendingRequest.tokens;
    }
    tokenLimiter_.setWaiting(waiting);
}

} // namespace boragerack::gateway
