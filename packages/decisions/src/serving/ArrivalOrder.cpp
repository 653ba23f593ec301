#include "boragerack/decisions/serving/ArrivalOrder.h"

namespace boragerack::decisions {

void ArrivalOrder::push(const WaitingRequest &request)
{
    waiting_.emplace(std::pair(request.arrivedAt, request.request), request);
}

std::optional<WaitingRequest> ArrivalOrder::first(core::TimePoint)
{
    if (waiting_.empty())
        return std::nullopt;
    return waiting_.begin()->second;
}

void ArrivalOrder::take(const WaitingRequest &request)
{
    remove(request);
}

void ArrivalOrder::remove(const WaitingRequest &request)
{
    waiting_.erase({request.arrivedAt, request.request});
}

std::size_t ArrivalOrder::ahead(const core::OrganisationId &) const
{
    return waiting_.size();
}

} // namespace boragerack::decisions
