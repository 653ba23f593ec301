#pragma once

#include <map>
#include <utility>
#include <variant>
#include <vector>

#include "boragerack/decisions/BudgetTypes.h"
#include "boragerack/decisions/ShareBucket.h"

namespace boragerack::decisions {

/// The ownership table let this process grant from the share.
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

/// The accepted configuration gives the organisation this limit; zero rate and burst removes it.
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

/// Grants portions from the shares that this process holds. A bucket is created at the first ask of
/// an organisation: until then its share has accrued undisturbed since granting started.
class BudgetHolder
{
public:
    BudgetHolder(std::uint64_t incarnation, std::uint32_t sharesPerOrganisation,
                 const BudgetFaults &faults = {});

    std::vector<HolderAction> handle(const HolderEvent &event, TimePoint now);

    /// Number of buckets kept, for the memory bound.
    std::size_t bucketCount() const { return buckets_.size(); }
    /// Drops buckets that are full and have no portions.
    void evictIdleBuckets(TimePoint now);

private:
    using BucketKey = std::pair<ShareKey, core::OrganisationId>;

    std::vector<HolderAction> on(const ShareGrantingStarted &event, TimePoint now);
    std::vector<HolderAction> on(const ShareGrantingStopped &event, TimePoint now);
    std::vector<HolderAction> on(const LimitChanged &event, TimePoint now);
    std::vector<HolderAction> on(const BudgetRequest &ask, TimePoint now);
    std::vector<HolderAction> on(const BudgetReturn &message, TimePoint now);
    void credit(const BucketKey &key, const std::vector<PortionReturn> &returns, TimePoint now);
    ShareBucket *findOrMake(const BucketKey &key);

    std::uint64_t incarnation_;
    std::uint32_t sharesPerOrganisation_;
    BudgetFaults faults_;
    std::map<ShareKey, TimePoint> grantingSince_;
    std::map<core::OrganisationId, RateLimit> limits_;
    std::map<BucketKey, ShareBucket> buckets_;
};

} // namespace boragerack::decisions
