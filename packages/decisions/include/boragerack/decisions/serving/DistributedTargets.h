#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/serving/TargetEntry.h"

namespace boragerack::decisions {

/// The list of targets that a coordinator distributes, which is the one that it has read itself. A
/// list that another coordinator relayed names no replicas, and its time says nothing about the
/// list that this one distributed before.
class DistributedTargets
{
public:
    /// False if the entries to distribute are the same as before. Entries without replicas are
    /// those of a relayed list.
    bool update(std::shared_ptr<const TargetEntries> entries, bool hasReplicas,
                core::TimePoint contentAt);

    /// Null until this node has read the list.
    const std::shared_ptr<const TargetEntries> &entries() const { return entries_; }
    /// Time since the content of the list, rounded up to milliseconds; empty without a list.
    std::optional<std::chrono::milliseconds> age(core::TimePoint now) const;
    /// The entries without the replicas, which are distributed as placements.
    std::vector<TargetEntry> withoutReplicas() const;

private:
    std::shared_ptr<const TargetEntries> entries_;
    core::TimePoint contentAt_ = {};
};

} // namespace boragerack::decisions
