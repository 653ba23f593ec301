#include "boragerack/decisions/FirstComeFirstServedPolicy.h"

namespace boragerack::decisions {

void FirstComeFirstServedPolicy::push(const QueuedRequest &request)
{
    requests_.push_back(request);
}

std::optional<QueuedRequest> FirstComeFirstServedPolicy::pop()
{
    if (requests_.empty())
        return std::nullopt;
    const QueuedRequest request = requests_.front();
    requests_.pop_front();
    return request;
}

void FirstComeFirstServedPolicy::remove(std::uint64_t request)
{
    std::erase_if(requests_,
                  [request](const QueuedRequest &entry) { return entry.request == request; });
}

} // namespace boragerack::decisions
