#include "boragerack/decisions/HighWaterMarks.h"

#include <algorithm>

namespace boragerack::decisions {

void HighWaterMarks::record(std::int64_t level)
{
    while (!entries_.empty() && entries_.back().level <= level)
        entries_.pop_back();
    entries_.push_back({nextPosition_, level});
    ++nextPosition_;
}

std::int64_t HighWaterMarks::highestSince(std::uint64_t position, std::int64_t current) const
{
    const std::size_t first = firstIndexFrom(position);
    return first < entries_.size() ? std::max(entries_[first].level, current) : current;
}

void HighWaterMarks::raiseSince(std::uint64_t position, std::int64_t amount)
{
    const std::size_t first = firstIndexFrom(position);
    if (first == entries_.size())
        return;
    for (std::size_t i = first; i < entries_.size(); ++i)
        entries_[i].level += amount;
    std::size_t kept = first;
    while (kept > 0 && entries_[kept - 1].level <= entries_[first].level)
        --kept;
    entries_.erase(entries_.begin() + static_cast<std::ptrdiff_t>(kept),
                   entries_.begin() + static_cast<std::ptrdiff_t>(first));
}

void HighWaterMarks::forgetBefore(std::uint64_t position)
{
    entries_.erase(entries_.begin(),
                   entries_.begin() + static_cast<std::ptrdiff_t>(firstIndexFrom(position)));
}

std::size_t HighWaterMarks::firstIndexFrom(std::uint64_t position) const
{
    const auto found =
        std::partition_point(entries_.begin(), entries_.end(),
                             [position](const Entry &entry) { return entry.position < position; });
    return static_cast<std::size_t>(found - entries_.begin());
}

} // namespace boragerack::decisions
