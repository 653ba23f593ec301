#pragma once

#include <cstdint>
#include <map>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/BudgetTypes.h"
#include "boragerack/decisions/serving/CoordinationMessages.h"

namespace boragerack::decisions {

/// The token buckets of all organisations, held by the coordinator. What it grants counts as spent.
/// A new coordinator does not know what its predecessor granted, so its buckets start with a part
/// of the burst that the quota's tolerance covers.
class TokenAllotment
{
public:
    using Limits = std::map<core::OrganisationId, RateLimit>;

    explicit TokenAllotment(std::int64_t startTokens);

    void setLimits(const Limits &limits, core::TimePoint now);

    /// Tokens granted, at most what is wanted.
    TokenAmount grant(const TokenAmount &wanted, core::TimePoint now);

private:
    struct Bucket
    {
        RateLimit limit;
        double level = 0;
        core::TimePoint accruedAt = {};

        void accrue(core::TimePoint now);
    };

    std::int64_t startTokens_;
    std::map<core::OrganisationId, Bucket> buckets_;
};

} // namespace boragerack::decisions
