// Requests that have no target yet: for want of tokens, or because the node has enough to do.

#include "RoutingTask.h"

#include <algorithm>

#include "boragerack/runtime/EventLog.h"

namespace boragerack::gateway {

void RoutingTask::enqueue(const RouteRequest &ask)
{
    // A request that has used up its aim in the queue is refused while its caller can still turn
    // elsewhere.
    core::TimePoint deadline = ask.deadline;
    if (ask.demand.targetLatency.count() > 0)
        deadline = std::min(deadline, clock_.now() + ask.demand.targetLatency);
    queue(decisions::RequestArrived {
        {ask.request, ask.organisation, std::max<std::int64_t>(1, ask.tokens), 1, deadline}});
}

void RoutingTask::queue(const decisions::QueueEvent &event)
{
    for (const decisions::QueueAction &action : fairQueue_.handle(event, clock_.now()))
        std::visit([this](const auto &concrete) { perform(concrete); }, action);
}

void RoutingTask::perform(const decisions::ServeRequest &action)
{
    // Requests that leave are taken out of the queue, so the one served here is still known.
    active_.insert(action.request.request);
    passOn(asks_.at(action.request.request));
}

void RoutingTask::perform(const decisions::RefuseRequest &action)
{
    const auto position = asks_.find(action.request);
    if (position == asks_.end())
        return;
    const RouteRequest &ask = position->second;
    metrics_.add("boragerack_queue_refusals_total",
                 runtime::makeLabels({{"organisation", ask.organisation.value},
                                      {"reason", core::errorCodeName(action.code)}}));
    constexpr std::chrono::milliseconds kRetryAfter(200);
    ask.reply.set(core::makeNotRunError(
        core::ErrorCode::QueueFull, "the node has as many requests as it may have", kRetryAfter));
    asks_.erase(position);
}

void RoutingTask::leaveQueue(std::uint64_t request)
{
    if (active_.erase(request) > 0)
        queue(decisions::CapacityFreed {1});
    else
        queue(decisions::RequestCancelled {request});
}

void RoutingTask::passOn(const RouteRequest &ask)
{
    route(decisions::routing::Asked {ask.request, ask.demand});
    hasUrgentNews_ = router_.takeNewlyWaiting() || hasUrgentNews_;
}

void RoutingTask::serveTokenQueue(bool refuseRest)
{
    const std::size_t reported = std::exchange(reportedTokenQueue_, 0);
    std::vector<std::uint64_t> rest;
    std::vector<std::uint64_t> queue = std::exchange(tokenQueue_, {});
    for (std::size_t i = 0; i < queue.size(); ++i) {
        const auto position = asks_.find(queue[i]);
        if (position == asks_.end())
            continue;
        RouteRequest &ask = position->second;
        if (wallet_.take(ask.organisation, ask.tokens)) {
            enqueue(ask);
        } else if (refuseRest && i < reported) {
            // The coordinator knew of this request and had no tokens for it.
            constexpr std::chrono::milliseconds kRetryAfter(500);
            ask.reply.set(core::makeNotRunError(core::ErrorCode::RateLimited,
                                                "the rate of the organisation is used up",
                                                kRetryAfter));
            asks_.erase(position);
        } else {
            rest.push_back(queue[i]);
        }
    }
    tokenQueue_ = std::move(rest);
    hasUrgentNews_ = hasUrgentNews_ || !tokenQueue_.empty();
    noteTokenQueue();
}

void RoutingTask::noteTokenQueue()
{
    std::map<core::OrganisationId, std::int64_t> waiting;
    for (const std::uint64_t request : tokenQueue_) {
        const RouteRequest &ask = asks_.at(request);
        waiting[ask.organisation] += ask.tokens;
    }
    wallet_.setWaiting(waiting);
}

} // namespace boragerack::gateway
