#include "boragerack/decisions/serving/DistributedTargets.h"

#include <utility>

namespace boragerack::decisions {

bool DistributedTargets::update(std::shared_ptr<const TargetEntries> entries, bool hasReplicas,
                                core::TimePoint contentAt)
{
    if (!hasReplicas)
        entries.reset();
    contentAt_ = contentAt;
    const bool isChanged = entries != entries_;
    entries_ = std::move(entries);
    return isChanged;
}

std::optional<std::chrono::milliseconds> DistributedTargets::age(core::TimePoint now) const
{
    if (!entries_)
        return std::nullopt;
    return std::chrono::ceil<std::chrono::milliseconds>(now - contentAt_);
}

std::vector<TargetEntry> DistributedTargets::withoutReplicas() const
{
    std::vector<TargetEntry> listed;
    if (!entries_)
        return listed;
    listed.reserve(entries_->size());
    for (const auto &[target, entry] : *entries_)
        listed.push_back({.target = target,
                          .service = entry.service,
                          .address = entry.address,
                          .dataCentre = entry.dataCentre,
                          .slots = entry.slots,
                          .isLeaving = entry.isLeaving,
                          .isUnconfirmed = entry.isUnconfirmed,
                          .isEvacuated = entry.isEvacuated,
                          .isCold = entry.isCold,
                          .startedAt = entry.startedAt});
    return listed;
}

} // namespace boragerack::decisions
