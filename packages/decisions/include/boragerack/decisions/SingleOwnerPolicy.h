#pragma once

#include "boragerack/decisions/BudgetPolicy.h"

namespace boragerack::decisions {

/// One owner holds the whole bucket of an organisation. While the owner is down, the organisation
/// gets no tokens.
class SingleOwnerPolicy final : public BudgetPolicy
{
public:
    std::uint32_t sharesPerOrganisation() const override { return 1; }
    std::vector<core::InstanceId>
    preferredOwners(std::uint32_t shard, std::span<const core::InstanceId> members) const override;
    std::vector<std::uint32_t> requestOrder(const core::OrganisationId &organisation,
                                            const core::InstanceId &node) const override;
    std::uint32_t shardCount() const override;
};

} // namespace boragerack::decisions
