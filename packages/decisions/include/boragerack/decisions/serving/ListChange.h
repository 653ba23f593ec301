#pragma once

#include <cstdint>
#include <vector>

namespace boragerack::decisions {

/// Difference between two versions of a list.
template<typename Key, typename Value>
struct ListChange
{
    /// Version of the list after the change.
    std::uint64_t version = 0;
    /// `changed` is the whole list; entries that it does not contain are removed.
    bool isComplete = false;
    /// Version that the change is relative to. A receiver that knows only an earlier one would miss
    /// the changes in between.
    std::uint64_t since = 0;
    std::vector<Value> changed;
    std::vector<Key> removed;

    friend auto operator<=>(const ListChange &, const ListChange &) = default;
};

} // namespace boragerack::decisions
