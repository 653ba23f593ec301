#pragma once

#include "boragerack/decisions/BudgetPolicy.h"

namespace boragerack::decisions {

/// Every instance of a fixed list holds 1/n of each bucket and asks only itself. No messages, but
/// an organisation whose requests arrive at one node gets only that node's part.
class EqualSplitPolicy final : public BudgetPolicy
{
public:
    explicit EqualSplitPolicy(std::vector<core::InstanceId> instances);

    std::uint32_t sharesPerOrganisation() const override;
    std::vector<core::InstanceId>
    preferredOwners(std::uint32_t shard, std::span<const core::InstanceId> members) const override;
    std::vector<std::uint32_t> askOrder(const core::OrganisationId &organisation,
                                        const core::InstanceId &node) const override;
    std::uint32_t shardCount() const override { return 1; }

private:
    std::vector<core::InstanceId> instances_;
};

} // namespace boragerack::decisions
