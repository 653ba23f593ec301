#include "boragerack/decisions/serving/TokenAllotment.h"

#include <algorithm>

namespace boragerack::decisions {

TokenAllotment::TokenAllotment(std::int64_t startTokens)
    : startTokens_(startTokens)
{
}

void TokenAllotment::Bucket::accrue(core::TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - accruedAt).count();
    level = std::min(level + static_cast<double>(limit.tokensPerSecond) * std::max(0.0, seconds),
                     static_cast<double>(limit.burstTokens));
    accruedAt = now;
}

void TokenAllotment::setLimits(const Limits &limits, core::TimePoint now)
{
    std::erase_if(buckets_, [&](const auto &item) { return !limits.contains(item.first); });
    for (const auto &[organisation, limit] : limits) {
        const auto [position, isNew] = buckets_.try_emplace(organisation);
        Bucket &bucket = position->second;
        if (isNew) {
            bucket.level = static_cast<double>(std::min(startTokens_, limit.burstTokens));
            bucket.accruedAt = now;
        } else {
            bucket.accrue(now);
            bucket.level = std::min(bucket.level, static_cast<double>(limit.burstTokens));
        }
        bucket.limit = limit;
    }
}

TokenAmount TokenAllotment::grant(const TokenAmount &wanted, core::TimePoint now)
{
    const auto position = buckets_.find(wanted.organisation);
    if (position == buckets_.end())
        return {wanted.organisation, 0};
    Bucket &bucket = position->second;
    bucket.accrue(now);
    const std::int64_t tokens =
        std::clamp<std::int64_t>(static_cast<std::int64_t>(bucket.level), 0, wanted.tokens);
    bucket.level -= static_cast<double>(tokens);
    return {wanted.organisation, tokens};
}

} // namespace boragerack::decisions
