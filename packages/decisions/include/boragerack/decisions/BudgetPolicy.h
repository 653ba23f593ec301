#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "boragerack/core/Identifier.h"
#include "boragerack/decisions/BudgetTypes.h"

namespace boragerack::decisions {

/// Defines how the buckets are split into shares, which members should own the shares, and from
/// which shares a node requests tokens.
class BudgetPolicy
{
public:
    BudgetPolicy() = default;
    BudgetPolicy(const BudgetPolicy &) = delete;
    BudgetPolicy &operator=(const BudgetPolicy &) = delete;
    virtual ~BudgetPolicy() = default;

    /// Number of shares of every bucket; constant while the fleet runs.
    virtual std::uint32_t sharesPerOrganisation() const = 0;

    /// Preferred owners of the shard's shares, by share index; empty if there are no members.
    virtual std::vector<core::InstanceId>
    preferredOwners(std::uint32_t shard, std::span<const core::InstanceId> members) const = 0;

    /// Indices of the shares from which the node requests the organisation's tokens, in order.
    virtual std::vector<std::uint32_t> requestOrder(const core::OrganisationId &organisation,
                                                    const core::InstanceId &node) const = 0;

    virtual std::uint32_t shardCount() const = 0;
    std::uint32_t shardOf(const core::OrganisationId &organisation) const;
};

} // namespace boragerack::decisions
