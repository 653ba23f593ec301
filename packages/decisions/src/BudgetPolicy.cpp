#include "boragerack/decisions/BudgetPolicy.h"

#include "boragerack/core/RendezvousHash.h"

namespace boragerack::decisions {

std::uint32_t BudgetPolicy::shardOf(const core::OrganisationId &organisation) const
{
    return static_cast<std::uint32_t>(core::stableHash(organisation.value) % shardCount());
}

} // namespace boragerack::decisions
