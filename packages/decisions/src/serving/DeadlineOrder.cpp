#include "boragerack/decisions/serving/DeadlineOrder.h"

#include <algorithm>
#include <limits>

namespace boragerack::decisions {

namespace {

/// An organisation whose requests are more urgent may be this many requests ahead of another one
/// with waiting requests. Strict turns would send requests with much time left before urgent ones.
constexpr std::uint64_t kMaxLead = 2;

} // namespace

void DeadlineOrder::push(const WaitingRequest &request)
{
    const auto [lane, isNew] = lanes_.try_emplace(request.organisation);
    if (isNew)
        lane->second.served = served_;
    lane->second.onTime.emplace(
        OnTimeKey(request.latestSend, request.priority, request.arrivedAt, request.request),
        request);
    ++size_;
}

std::optional<WaitingRequest> DeadlineOrder::first(core::TimePoint now)
{
    separateLate(now);
    if (isDue())
        return lateByArrival_.begin()->second;
    const bool isAnyOnTime = lateByArrival_.size() < size_;
    const auto competes = [&](const Lane &lane) { return !isAnyOnTime || !lane.onTime.empty(); };
    std::uint64_t least = std::numeric_limits<std::uint64_t>::max();
    for (const auto &[organisation, lane] : lanes_) {
        if (competes(lane))
            least = std::min(least, lane.served);
    }
    const WaitingRequest *best = nullptr;
    for (const auto &[organisation, lane] : lanes_) {
        if (!competes(lane) || lane.served > least + kMaxLead)
            continue;
        const WaitingRequest &candidate =
            isAnyOnTime ? lane.onTime.begin()->second : lane.late.begin()->second;
        const auto keyOf = [&](const WaitingRequest &request) {
            return isAnyOnTime ? std::tuple(request.latestSend, request.priority, request.arrivedAt)
                               : std::tuple(core::TimePoint(), request.priority, request.arrivedAt);
        };
        if (!best || keyOf(candidate) < keyOf(*best))
            best = &candidate;
    }
    return best ? std::optional(*best) : std::nullopt;
}

void DeadlineOrder::take(const WaitingRequest &request)
{
    const auto taken = lanes_.find(request.organisation);
    if (taken == lanes_.end())
        return;
    passes_ = lateByArrival_.empty() || isLate(request) ? 0 : passes_ + 1;
    // Lanes with late requests only do not gain turns meanwhile, so that the organisation of a
    // burst does not go before all others afterwards.
    const std::uint64_t least = taken->second.served - std::min(taken->second.served, kMaxLead);
    for (auto &[organisation, lane] : lanes_)
        lane.served = std::max(lane.served, least);
    served_ = std::max(served_, ++taken->second.served);
    remove(request);
}

void DeadlineOrder::remove(const WaitingRequest &request)
{
    const auto position = lanes_.find(request.organisation);
    if (position == lanes_.end())
        return;
    Lane &lane = position->second;
    const std::size_t before = lane.size();
    lane.onTime.erase(
        OnTimeKey(request.latestSend, request.priority, request.arrivedAt, request.request));
    lane.late.erase(LateKey(request.priority, request.arrivedAt, request.request));
    lateByArrival_.erase(ArrivalKey(request.arrivedAt, request.request));
    size_ -= before - lane.size();
    if (lane.size() == 0)
        lanes_.erase(position);
}

std::size_t DeadlineOrder::ahead(const core::OrganisationId &organisation) const
{
    const auto own = lanes_.find(organisation);
    const std::size_t turns = (own == lanes_.end() ? 0 : own->second.size()) + kMaxLead;
    std::size_t result = own == lanes_.end() ? 0 : own->second.size();
    for (const auto &[other, lane] : lanes_) {
        if (other != organisation)
            result += std::min(lane.size(), turns);
    }
    return result;
}

void DeadlineOrder::separateLate(core::TimePoint now)
{
    for (auto &[organisation, lane] : lanes_) {
        while (!lane.onTime.empty() && lane.onTime.begin()->second.latestSend < now) {
            const auto node = lane.onTime.extract(lane.onTime.begin());
            const WaitingRequest &request = node.mapped();
            lane.late.emplace(LateKey(request.priority, request.arrivedAt, request.request),
                              request);
            lateByArrival_.emplace(ArrivalKey(request.arrivedAt, request.request), request);
        }
    }
}

bool DeadlineOrder::isLate(const WaitingRequest &request) const
{
    return lateByArrival_.contains(ArrivalKey(request.arrivedAt, request.request));
}

} // namespace boragerack::decisions
