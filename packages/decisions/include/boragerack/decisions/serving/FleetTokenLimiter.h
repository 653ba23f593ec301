#pragma once

#include <cstdint>
#include <map>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/BudgetTypes.h"
#include "boragerack/decisions/serving/CoordinationMessages.h"

namespace boragerack::decisions {

/// Token buckets of all organisations, held by the coordinator. Granted tokens count as spent.
/// A new coordinator does not know what its predecessor granted, so its buckets start with a part
/// of the burst that the quota's tolerance covers. Another part of the tolerance enlarges the
/// buckets: nodes receive tokens in discrete grants, and this must not cause the refusal of a
/// request within the limit.
class FleetTokenLimiter
{
public:
    using Limits = std::map<core::OrganisationId, RateLimit>;

    /// `tolerance`: tokens by which an organisation may exceed its limit before it counts as
    /// violated.
    explicit FleetTokenLimiter(std::int64_t tolerance);

    void setLimits(const Limits &limits, core::TimePoint now);

    /// Sets the fraction of the rates that is granted here. The rest is left to nodes that cannot
    /// reach the coordinator and accrue their own share.
    void setRateFraction(double fraction, core::TimePoint now);

    /// Grants at most the requested tokens. Reserves are not granted while the bucket is low, so
    /// that tokens are not idle on one node while requests wait on another.
    TokenAmount grant(const TokenRequest &request, core::TimePoint now);

private:
    struct Bucket
    {
        RateLimit limit;
        double level = 0;
        core::TimePoint accruedAt = {};
    };

    void accrue(Bucket &bucket, core::TimePoint now) const;
    double capacityOf(const RateLimit &limit) const;

    std::int64_t initialTokens_;
    std::int64_t extraTokens_;
    double rateFraction_ = 1;
    std::map<core::OrganisationId, Bucket> buckets_;
};

} // namespace boragerack::decisions
