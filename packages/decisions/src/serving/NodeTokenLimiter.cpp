#include "boragerack/decisions/serving/NodeTokenLimiter.h"

#include <algorithm>
#include <cmath>

namespace boragerack::decisions {

namespace {

/// The balance includes a reserve for the demand of this time, so that few requests wait for a
/// response of the coordinator.
constexpr double kReserveSeconds = 0.5;
/// Time constant of the exponential average of demand.
constexpr double kDemandSeconds = 1;
/// The reserve is at most the burst divided by this, so that idle nodes do not withhold an
/// organisation's tokens from the nodes that need them.
constexpr std::int64_t kReserveBurstDivisor = 8;
/// A missing reserve is requested only if it exceeds the full reserve divided by this.
constexpr std::int64_t kMinReserveRequestDivisor = 4;

} // namespace

void NodeTokenLimiter::Account::countDemand(std::int64_t tokens, core::TimePoint now)
{
    demand = demandNow(now) + static_cast<double>(tokens) / kDemandSeconds;
    demandAt = now;
    largestRequest = std::max(largestRequest, tokens);
}

double NodeTokenLimiter::Account::demandNow(core::TimePoint now) const
{
    const double age = std::chrono::duration<double>(now - demandAt).count();
    return demand * std::exp(-std::max(0.0, age) / kDemandSeconds);
}

std::int64_t NodeTokenLimiter::Account::reserveNow(core::TimePoint now) const
{
    const auto expected = static_cast<std::int64_t>(demandNow(now) * kReserveSeconds);
    return std::min(std::max(expected, largestRequest), limit.burstTokens / kReserveBurstDivisor);
}

void NodeTokenLimiter::setLimits(const Limits &limits)
{
    std::erase_if(accounts_, [&](const auto &item) { return !limits.contains(item.first); });
    for (const auto &[organisation, limit] : limits) {
        Account &account = accounts_[organisation];
        account.limit = limit;
        account.balance = std::min(account.balance, limit.burstTokens);
    }
    std::erase_if(spent_,
                  [this](const auto &item) { return !isLimited(item.second.organisation); });
}

bool NodeTokenLimiter::isLimited(const core::OrganisationId &organisation) const
{
    const auto position = accounts_.find(organisation);
    return position != accounts_.end() && position->second.limit.tokensPerSecond > 0;
}

void NodeTokenLimiter::countDemand(const core::OrganisationId &organisation, std::int64_t tokens,
                                   core::TimePoint now)
{
    if (isLimited(organisation))
        accounts_[organisation].countDemand(tokens, now);
}

bool NodeTokenLimiter::take(std::uint64_t request, const core::OrganisationId &organisation,
                            std::int64_t tokens)
{
    if (!isLimited(organisation) || spent_.contains(request))
        return true;
    Account &account = accounts_[organisation];
    if (account.balance < tokens)
        return false;
    account.balance -= tokens;
    spent_.emplace(request, TokenAmount {organisation, tokens});
    return true;
}

TokenAmount NodeTokenLimiter::end(std::uint64_t request, bool hasRun, core::TimePoint now)
{
    const auto ended = spent_.extract(request);
    if (!ended)
        return {};
    const TokenAmount &spent = ended.mapped();
    if (hasRun)
        return {spent.organisation, 0};
    Account &account = accounts_[spent.organisation];
    const std::int64_t room = std::max(account.reserveNow(now), spent.tokens) - account.balance;
    TokenAmount credited {spent.organisation, std::clamp<std::int64_t>(room, 0, spent.tokens)};
    account.balance += credited.tokens;
    return credited;
}

void NodeTokenLimiter::credit(const TokenAmount &grant)
{
    if (isLimited(grant.organisation))
        accounts_[grant.organisation].balance += grant.tokens;
}

void NodeTokenLimiter::accrue(core::TimePoint now, std::uint32_t nodes)
{
    const double seconds =
        accruedAt_ ? std::chrono::duration<double>(now - *accruedAt_).count() : 0;
    accruedAt_ = now;
    for (auto &[organisation, account] : accounts_) {
        const auto accrued = static_cast<std::int64_t>(
            static_cast<double>(account.limit.tokensPerSecond) * seconds / std::max(1U, nodes));
        const std::int64_t cap = account.limit.burstTokens / std::max(1U, nodes);
        account.balance = std::max(account.balance, std::min(account.balance + accrued, cap));
    }
}

std::vector<TokenRequest> NodeTokenLimiter::wanted(core::TimePoint now) const
{
    std::vector<TokenRequest> requests;
    for (const auto &[organisation, account] : accounts_) {
        if (account.limit.tokensPerSecond <= 0)
            continue;
        const std::int64_t reserve = account.reserveNow(now);
        TokenRequest request {
            organisation, std::max<std::int64_t>(0, account.waiting - account.balance),
            std::max<std::int64_t>(
                0, reserve - std::max<std::int64_t>(0, account.balance - account.waiting))};
        // Smaller amounts can wait for a later report.
        if (request.waiting > 0 || request.reserve > reserve / kMinReserveRequestDivisor)
            requests.push_back(request);
    }
    return requests;
}

void NodeTokenLimiter::setWaiting(const std::map<core::OrganisationId, std::int64_t> &tokens)
{
    for (auto &[organisation, account] : accounts_) {
        const auto position = tokens.find(organisation);
        account.waiting = position == tokens.end() ? 0 : position->second;
    }
}

} // namespace boragerack::decisions
