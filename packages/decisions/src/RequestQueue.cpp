#include "boragerack/decisions/RequestQueue.h"

namespace boragerack::decisions {

RequestQueue::RequestQueue(std::unique_ptr<QueuePolicy> policy, const QueueLimits &limits)
    : policy_(std::move(policy))
    , limits_(limits)
{
}

std::vector<QueueAction> RequestQueue::handle(const QueueEvent &event, core::TimePoint now)
{
    Actions actions;
    refuseExpired(now, actions);
    std::visit([&](const auto &value) { on(value, now, actions); }, event);
    serve(actions);
    return actions;
}

std::optional<core::TimePoint> RequestQueue::nextTimer() const
{
    if (waitingByDeadline_.empty())
        return std::nullopt;
    return waitingByDeadline_.begin()->first;
}

void RequestQueue::on(const RequestArrived &event, core::TimePoint now, Actions &actions)
{
    const QueuedRequest &request = event.request;
    if (request.deadline <= now) {
        actions.emplace_back(RefuseRequest {request.request, core::ErrorCode::DeadlineExceeded});
        return;
    }
    const auto count = waitingPerOrganisation_.find(request.organisation);
    const std::size_t organisationCount =
        count == waitingPerOrganisation_.end() ? 0 : count->second;
    if (waiting_.size() >= limits_.requests
        || organisationCount >= limits_.requestsPerOrganisation) {
        actions.emplace_back(RefuseRequest {request.request, core::ErrorCode::QueueFull});
        return;
    }
    if (!waiting_.emplace(request.request, Waiting {request.organisation, request.deadline}).second)
        return;
    ++waitingPerOrganisation_[request.organisation];
    waitingByDeadline_.emplace(request.deadline, request.request);
    policy_->push(request);
}

void RequestQueue::on(const RequestCancelled &event, core::TimePoint /*now*/, Actions & /*actions*/)
{
    if (!waiting_.contains(event.request))
        return;
    policy_->remove(event.request);
    erase(event.request);
}

void RequestQueue::on(const CapacityFreed &event, core::TimePoint /*now*/, Actions & /*actions*/)
{
    capacity_ += event.requests;
}

void RequestQueue::on(const QueueTimer & /*event*/, core::TimePoint /*now*/, Actions & /*actions*/)
{
}

void RequestQueue::refuseExpired(core::TimePoint now, Actions &actions)
{
    while (!waitingByDeadline_.empty() && waitingByDeadline_.begin()->first <= now) {
        const std::uint64_t request = waitingByDeadline_.begin()->second;
        policy_->remove(request);
        erase(request);
        actions.emplace_back(RefuseRequest {request, core::ErrorCode::DeadlineExceeded});
    }
}

void RequestQueue::serve(Actions &actions)
{
    while (capacity_ > 0) {
        auto request = policy_->pop();
        if (!request)
            return;
        --capacity_;
        erase(request->request);
        actions.emplace_back(ServeRequest {std::move(*request)});
    }
}

void RequestQueue::erase(std::uint64_t request)
{
    const auto found = waiting_.find(request);
    const auto count = waitingPerOrganisation_.find(found->second.organisation);
    if (--count->second == 0)
        waitingPerOrganisation_.erase(count);
    waitingByDeadline_.erase({found->second.deadline, request});
    waiting_.erase(found);
}

} // namespace boragerack::decisions
