#include "boragerack/decisions/serving/DispatchQueue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace boragerack::decisions {

DispatchQueue::DispatchQueue(MakeOrder makeOrder)
    : makeOrder_(std::move(makeOrder))
{
}

void DispatchQueue::push(const Artifact &artifact, const WaitingRequest &request, bool hasReplica)
{
    Group &group = groups_[artifact];
    if (!group.order)
        group.order = makeOrder_();
    group.hasReplica = hasReplica;
    group.order->push(request);
    requests_.insert_or_assign(request.request, Position {artifact, request});
}

void DispatchQueue::take(const Artifact &artifact, const WaitingRequest &request)
{
    const auto group = groups_.find(artifact);
    if (group == groups_.end())
        return;
    group->second.order->take(request);
    requests_.erase(request.request);
    dropIfEmpty(artifact);
}

void DispatchQueue::remove(std::uint64_t request)
{
    const auto removed = requests_.extract(request);
    if (!removed)
        return;
    const Position &position = removed.mapped();
    groups_.at(position.artifact).order->remove(position.request);
    dropIfEmpty(position.artifact);
}

bool DispatchQueue::isForRoom(std::uint64_t request) const
{
    const auto position = requests_.find(request);
    return position != requests_.end() && groups_.at(position->second.artifact).hasReplica;
}

std::size_t DispatchQueue::roomCount() const
{
    std::size_t count = 0;
    for (const auto &[artifact, group] : groups_)
        count += group.hasReplica ? group.order->size() : 0;
    return count;
}

std::vector<std::pair<Artifact, std::size_t>> DispatchQueue::sizes() const
{
    std::vector<std::pair<Artifact, std::size_t>> result;
    for (const auto &[artifact, group] : groups_)
        result.emplace_back(artifact, group.order->size());
    return result;
}

DispatchQueue::Group *DispatchQueue::find(const Artifact &artifact)
{
    const auto position = groups_.find(artifact);
    return position == groups_.end() ? nullptr : &position->second;
}

const DispatchQueue::Group *DispatchQueue::find(const Artifact &artifact) const
{
    const auto position = groups_.find(artifact);
    return position == groups_.end() ? nullptr : &position->second;
}

std::vector<Artifact> DispatchQueue::artifacts(core::TimePoint now)
{
    using Key = std::tuple<bool, core::TimePoint, int, core::TimePoint>;
    std::vector<std::pair<Key, Artifact>> keyed;
    for (auto &[artifact, group] : groups_) {
        if (const auto first = group.order->first(now))
            keyed.emplace_back(
                Key(first->latestSend < now, first->latestSend, first->priority, first->arrivedAt),
                artifact);
    }
    std::ranges::sort(keyed);
    std::vector<Artifact> result;
    for (auto &[key, artifact] : keyed)
        result.push_back(std::move(artifact));
    return result;
}

void DispatchQueue::dropIfEmpty(const Artifact &artifact)
{
    const auto group = groups_.find(artifact);
    if (group != groups_.end() && group->second.order->size() == 0)
        groups_.erase(group);
}

} // namespace boragerack::decisions
