#include "boragerack/decisions/SingleOwnerPolicy.h"

#include "boragerack/decisions/MultipleOwnersPolicy.h"

namespace boragerack::decisions {

std::vector<core::InstanceId>
SingleOwnerPolicy::preferredOwners(std::uint32_t shard,
                                   std::span<const core::InstanceId> members) const
{
    return MultipleOwnersPolicy(1).preferredOwners(shard, members);
}

std::vector<std::uint32_t>
SingleOwnerPolicy::requestOrder(const core::OrganisationId & /*organisation*/,
                                const core::InstanceId & /*node*/) const
{
    return {0};
}

std::uint32_t SingleOwnerPolicy::shardCount() const
{
    return kShardCount;
}

} // namespace boragerack::decisions
