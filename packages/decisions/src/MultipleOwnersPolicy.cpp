#include "boragerack/decisions/MultipleOwnersPolicy.h"

#include <map>
#include <string>
#include <utility>

#include "boragerack/core/RendezvousHash.h"

namespace boragerack::decisions {

MultipleOwnersPolicy::MultipleOwnersPolicy(std::uint32_t shares)
    : shares_(shares)
{
}

/// Assigns the shares of a shard to different members if there are enough, so that the failure of a
/// member stops as little of a bucket as possible: each share goes to the first member in its
/// rendezvous order that has fewer than ceil(shares / members) shares of the shard.
std::vector<core::InstanceId>
MultipleOwnersPolicy::preferredOwners(std::uint32_t shard,
                                      std::span<const core::InstanceId> members) const
{
    std::vector<core::InstanceId> owners;
    if (members.empty())
        return owners;
    const std::size_t maxSharesPerMember = (shares_ + members.size() - 1) / members.size();
    std::map<core::InstanceId, std::size_t> counts;
    for (std::uint32_t index = 0; index < shares_; ++index) {
        const std::string key = "budget/" + std::to_string(shard) + "/" + std::to_string(index);
        for (core::InstanceId &owner : core::rendezvousOwners(key, members, shares_)) {
            if (counts[owner] >= maxSharesPerMember)
                continue;
            ++counts[owner];
            owners.push_back(std::move(owner));
            break;
        }
    }
    return owners;
}

/// Nodes start at different shares, so that their budget requests are spread over the holders.
std::vector<std::uint32_t>
MultipleOwnersPolicy::requestOrder(const core::OrganisationId &organisation,
                                   const core::InstanceId &node) const
{
    const std::uint64_t start = core::stableHash(node.value, core::stableHash(organisation.value));
    std::vector<std::uint32_t> order;
    for (std::uint32_t offset = 0; offset < shares_; ++offset)
        order.push_back(static_cast<std::uint32_t>((start + offset) % shares_));
    return order;
}

} // namespace boragerack::decisions
