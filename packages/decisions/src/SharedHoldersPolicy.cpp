#include "boragerack/decisions/SharedHoldersPolicy.h"

#include <string>

#include "boragerack/core/RendezvousHash.h"

namespace boragerack::decisions {

SharedHoldersPolicy::SharedHoldersPolicy(std::uint32_t shares)
    : shares_(shares)
{
}

std::vector<core::InstanceId>
SharedHoldersPolicy::preferredOwners(std::uint32_t shard,
                                     std::span<const core::InstanceId> members) const
{
    std::vector<core::InstanceId> owners;
    for (std::uint32_t index = 0; index < shares_; ++index) {
        const std::string key = "budget/" + std::to_string(shard) + "/" + std::to_string(index);
        for (core::InstanceId &owner : core::rendezvousOwners(key, members, 1))
            owners.push_back(std::move(owner));
    }
    return owners;
}

/// Nodes start at different shares, so that their asks are spread over the holders.
std::vector<std::uint32_t> SharedHoldersPolicy::askOrder(const core::OrganisationId &organisation,
                                                         const core::InstanceId &node) const
{
    const std::uint64_t start = core::stableHash(node.value, core::stableHash(organisation.value));
    std::vector<std::uint32_t> order;
    for (std::uint32_t offset = 0; offset < shares_; ++offset)
        order.push_back(static_cast<std::uint32_t>((start + offset) % shares_));
    return order;
}

} // namespace boragerack::decisions
