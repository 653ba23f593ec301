#pragma once

#include <cstdint>
#include <map>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/BudgetTypes.h"
#include "boragerack/decisions/serving/CoordinationMessages.h"

namespace boragerack::decisions {

/// The token buckets of all organisations, held by the coordinator. What it grants counts as spent.
/// A new coordinator does not know what its predecessor granted, so its buckets start with a part
/// of the burst that the quota's tolerance covers. Another part of the tolerance enlarges the
/// buckets: grants reach the nodes in steps, and a request within the limit must not be refused for
/// that.
class FleetTokenLimiter
{
public:
    using Limits = std::map<core::OrganisationId, RateLimit>;

    /// `tolerance`: tokens beyond the limit of an organisation before it counts as broken.
    explicit FleetTokenLimiter(std::int64_t tolerance);

    void setLimits(const Limits &limits, core::TimePoint now);

    /// Part of the rates that is granted here; the rest is left to nodes that are out of touch and
    /// accrue their own part.
    void setRateFraction(double share, core::TimePoint now);

    /// Tokens granted, at most what is asked for. When the bucket runs low, reserves are not
    /// granted, so that tokens do not lie idle on one node while requests wait on another.
    TokenAmount grant(const TokenRequest &ask, core::TimePoint now);

private:
    struct Bucket
    {
        RateLimit limit;
        double level = 0;
        core::TimePoint accruedAt = {};
    };

    void accrue(Bucket &bucket, core::TimePoint now) const;
    double sizeOf(const RateLimit &limit) const;

    std::int64_t startTokens_;
    std::int64_t extraTokens_;
    double share_ = 1;
    std::map<core::OrganisationId, Bucket> buckets_;
};

} // namespace boragerack::decisions
