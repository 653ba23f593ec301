#pragma once

#include "boragerack/decisions/BudgetPolicy.h"

namespace boragerack::decisions {

/// Each of the n instances of a fixed list holds 1/n of every bucket and requests tokens only from
/// itself. This needs no messages, but an organisation whose requests all arrive at one node gets
/// only that node's part of its rate.
class EqualSplitPolicy final : public BudgetPolicy
{
public:
    explicit EqualSplitPolicy(std::vector<core::InstanceId> instances);

    std::uint32_t sharesPerOrganisation() const override;
    std::vector<core::InstanceId>
    preferredOwners(std::uint32_t shard, std::span<const core::InstanceId> members) const override;
    std::vector<std::uint32_t> requestOrder(const core::OrganisationId &organisation,
                                            const core::InstanceId &node) const override;
    std::uint32_t shardCount() const override { return 1; }

private:
    std::vector<core::InstanceId> instances_;
};

} // namespace boragerack::decisions
