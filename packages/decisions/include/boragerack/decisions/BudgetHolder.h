#pragma once

#include <map>
#include <utility>
#include <variant>
#include <vector>

#include "boragerack/decisions/BudgetTypes.h"
#include "boragerack/decisions/ShareBucket.h"

namespace boragerack::decisions {

/// This process owns the share in the ownership table and may grant from it.
struct ShareGrantingStarted
{
    ShareKey share;

    friend bool operator==(const ShareGrantingStarted &, const ShareGrantingStarted &) = default;
};

struct ShareGrantingStopped
{
    ShareKey share;

    friend bool operator==(const ShareGrantingStopped &, const ShareGrantingStopped &) = default;
};

/// The accepted configuration sets this limit for the organisation. A limit with zero rate and zero
/// burst removes it.
struct LimitChanged
{
    core::OrganisationId organisation;
    RateLimit limit;

    friend bool operator==(const LimitChanged &, const LimitChanged &) = default;
};

struct SendGrant
{
    core::InstanceId to;
    BudgetGrant grant;

    friend bool operator==(const SendGrant &, const SendGrant &) = default;
};

using HolderEvent = std::variant<ShareGrantingStarted, ShareGrantingStopped, LimitChanged,
                                 BudgetRequest, BudgetReturn>;
using HolderAction = std::variant<SendGrant>;

/// Grants portions from the shares that this process holds. A bucket is created at the first budget
/// request for an organisation, as if it had accrued since granting started.
class BudgetHolder
{
public:
    BudgetHolder(std::uint64_t incarnation, std::uint32_t sharesPerOrganisation,
                 const BudgetFaults &faults = {});

    std::vector<HolderAction> handle(const HolderEvent &event, TimePoint now);

    /// Number of buckets in memory.
    std::size_t bucketCount() const { return buckets_.size(); }
    /// Evicts buckets that are full and have no portions.
    void evictIdleBuckets(TimePoint now);

private:
    using BucketKey = std::pair<ShareKey, core::OrganisationId>;

    std::vector<HolderAction> on(const ShareGrantingStarted &event, TimePoint now);
    std::vector<HolderAction> on(const ShareGrantingStopped &event, TimePoint now);
    std::vector<HolderAction> on(const LimitChanged &event, TimePoint now);
    std::vector<HolderAction> on(const BudgetRequest &request, TimePoint now);
    std::vector<HolderAction> on(const BudgetReturn &message, TimePoint now);
    void credit(const BucketKey &key, const std::vector<PortionReturn> &returns, TimePoint now);
    ShareBucket *findOrCreate(const BucketKey &key);

    std::uint64_t incarnation_;
    std::uint32_t sharesPerOrganisation_;
    BudgetFaults faults_;
    std::map<ShareKey, TimePoint> grantingSince_;
    std::map<core::OrganisationId, RateLimit> limits_;
    std::map<BucketKey, ShareBucket> buckets_;
};

} // namespace boragerack::decisions
