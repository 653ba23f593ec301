#include "boragerack/decisions/EqualSplitPolicy.h"

#include <algorithm>
#include <utility>

namespace boragerack::decisions {

EqualSplitPolicy::EqualSplitPolicy(std::vector<core::InstanceId> instances)
    : instances_(std::move(instances))
{
}

std::uint32_t EqualSplitPolicy::sharesPerOrganisation() const
{
    return static_cast<std::uint32_t>(instances_.size());
}

std::vector<core::InstanceId>
EqualSplitPolicy::preferredOwners(std::uint32_t /*shard*/,
                                  std::span<const core::InstanceId> /*members*/) const
{
    return instances_;
}

std::vector<std::uint32_t>
EqualSplitPolicy::requestOrder(const core::OrganisationId & /*organisation*/,
                               const core::InstanceId &node) const
{
    const auto found = std::find(instances_.begin(), instances_.end(), node);
    if (found == instances_.end())
        return {};
    return {static_cast<std::uint32_t>(found - instances_.begin())};
}

} // namespace boragerack::decisions
