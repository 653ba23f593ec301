#pragma once

#include "boragerack/decisions/BudgetPolicy.h"

namespace boragerack::decisions {

constexpr std::uint32_t kShardCount = 64;
constexpr std::uint32_t kSharesPerOrganisation = 8;

/// Splits each bucket into a few shares whose owners are chosen by rendezvous hashing. The failure
/// of one owner stops only its part of the rate.
class MultipleOwnersPolicy final : public BudgetPolicy
{
public:
    explicit MultipleOwnersPolicy(std::uint32_t shares = kSharesPerOrganisation);

    std::uint32_t sharesPerOrganisation() const override { return shares_; }
    std::vector<core::InstanceId>
    preferredOwners(std::uint32_t shard, std::span<const core::InstanceId> members) const override;
    std::vector<std::uint32_t> requestOrder(const core::OrganisationId &organisation,
                                            const core::InstanceId &node) const override;
    std::uint32_t shardCount() const override { return kShardCount; }

private:
    std::uint32_t shares_;
};

} // namespace boragerack::decisions
