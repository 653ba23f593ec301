#include "boragerack/decisions/BudgetHolder.h"

#include <algorithm>
#include <iterator>

namespace boragerack::decisions {

namespace {

/// Bounds of the delay after which a borrower retries. The minimum limits the rate of budget
/// requests under overload; the maximum lets waiting requests get tokens soon after they accrue.
constexpr std::chrono::milliseconds kMinRetryAfter(50);
constexpr std::chrono::milliseconds kMaxRetryAfter(1000);

} // namespace

BudgetHolder::BudgetHolder(std::uint64_t incarnation, std::uint32_t sharesPerOrganisation,
                           const BudgetFaults &faults)
    : incarnation_(incarnation)
    , sharesPerOrganisation_(sharesPerOrganisation)
    , faults_(faults)
{
}

std::vector<HolderAction> BudgetHolder::handle(const HolderEvent &event, TimePoint now)
{
    return std::visit([this, now](const auto &value) { return on(value, now); }, event);
}

void BudgetHolder::evictIdleBuckets(TimePoint now)
{
    for (auto entry = buckets_.begin(); entry != buckets_.end();)
        entry = entry->second.isIdle(now) ? buckets_.erase(entry) : std::next(entry);
}

std::vector<HolderAction> BudgetHolder::on(const ShareGrantingStarted &event, TimePoint now)
{
    grantingSince_.emplace(event.share, now);
    return {};
}

std::vector<HolderAction> BudgetHolder::on(const ShareGrantingStopped &event, TimePoint /*now*/)
{
    grantingSince_.erase(event.share);
    std::erase_if(buckets_, [&](const auto &entry) { return entry.first.first == event.share; });
    return {};
}

std::vector<HolderAction> BudgetHolder::on(const LimitChanged &event, TimePoint now)
{
    if (event.limit == RateLimit {}) {
        limits_.erase(event.organisation);
    } else {
        limits_.insert_or_assign(event.organisation, event.limit);
    }
    for (auto &[key, bucket] : buckets_) {
        if (key.second == event.organisation)
            bucket.setLimit(event.limit, now);
    }
    return {};
}

std::vector<HolderAction> BudgetHolder::on(const BudgetRequest &request, TimePoint now)
{
    const BucketKey key(request.share, request.organisation);
    credit(key, request.returns, now);
    BudgetGrant grant;
    grant.id = request.id;
    grant.share = request.share;
    grant.organisation = request.organisation;
    grant.holderIncarnation = incarnation_;
    if (ShareBucket *bucket = findOrCreate(key)) {
        grant.isHolder = true;
        grant.tokens = bucket->grant(request.id, request.wantedTokens, now);
        if (const std::int64_t missing = request.wantedTokens - grant.tokens; missing > 0)
            grant.retryAfter =
                std::clamp(bucket->accrualTime(missing), kMinRetryAfter, kMaxRetryAfter);
    }
    return {SendGrant {request.id.borrower, std::move(grant)}};
}

std::vector<HolderAction> BudgetHolder::on(const BudgetReturn &message, TimePoint now)
{
    credit({message.share, message.organisation}, message.returns, now);
    return {};
}

void BudgetHolder::credit(const BucketKey &key, const std::vector<PortionReturn> &returns,
                          TimePoint now)
{
    // Without a bucket this incarnation has granted no portion, so returned tokens count as spent.
    const auto found = buckets_.find(key);
    if (found == buckets_.end())
        return;
    for (const PortionReturn &entry : returns) {
        if (entry.holderIncarnation == incarnation_)
            found->second.refundTokens(entry.portion, entry.returnedTotal, now);
    }
}

ShareBucket *BudgetHolder::findOrCreate(const BucketKey &key)
{
    const auto &[share, organisation] = key;
    const auto since = grantingSince_.find(share);
    const auto limit = limits_.find(organisation);
    if (since == grantingSince_.end() || limit == limits_.end())
        return nullptr;
    auto found = buckets_.find(key);
    if (found == buckets_.end()) {
        const ShareBucket bucket(limit->second, sharesPerOrganisation_, since->second, faults_);
        found = buckets_.emplace(key, bucket).first;
    }
    return &found->second;
}

} // namespace boragerack::decisions
