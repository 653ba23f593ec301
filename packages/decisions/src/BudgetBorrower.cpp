#include "boragerack/decisions/BudgetBorrower.h"

#include <algorithm>
#include <utility>

namespace boragerack::decisions {

namespace {

/// Time to wait for a grant before the budget request is sent to the next holder. Messages take a
/// few milliseconds within a region.
constexpr std::chrono::milliseconds kGrantTimeout(100);

/// Delay before the next budget request to an owner that did not respond or does not hold the
/// share.
constexpr std::chrono::milliseconds kUnresponsiveHolderDelay(1000);

/// Time for which returns are batched, so that they share a message or join a budget request.
constexpr std::chrono::milliseconds kReturnBatchDelay(250);

/// A budget request is limited to burst / kBudgetRequestBurstDivisor unless the first waiting
/// request needs more, because accrual stops while outstanding portions and the level fill the
/// bucket. With a divisor of 4 and a burst of one second of the rate, requests within the rate had
/// to wait.
constexpr std::int64_t kBudgetRequestBurstDivisor = 16;

/// A used portion smaller than 1/kSmallPortionDivisor of its share's bucket is not returned but
/// left to expire at the holder, which saves a message. Otherwise the message traffic of many nodes
/// with little demand each would double.
constexpr std::int64_t kSmallPortionDivisor = 64;

constexpr std::size_t kMaxWaitingRequests = 1024;

} // namespace

BudgetBorrower::BudgetBorrower(core::InstanceId instance, std::uint64_t incarnation,
                               const BudgetPolicy &policy, const BudgetFaults &faults)
    : instance_(std::move(instance))
    , incarnation_(incarnation)
    , policy_(policy)
    , faults_(faults)
{
}

std::vector<BorrowerAction> BudgetBorrower::handle(const BorrowerEvent &event, TimePoint now)
{
    Actions actions;
    std::visit([&](const auto &value) { on(value, now, actions); }, event);
    return actions;
}

std::optional<TimePoint> BudgetBorrower::nextTimer() const
{
    std::optional<TimePoint> next;
    const auto consider = [&next](TimePoint time) {
        if (!next || time < *next)
            next = time;
    };
    for (const auto &[organisation, account] : accounts_) {
        for (const WaitingRequest &waiting : account.waiting)
            consider(waiting.deadline);
        for (const auto &[sequence, portion] : account.portions) {
            if (portion.isOpen)
                consider(portion.end);
        }
        if (account.openBudgetRequest && !account.waiting.empty())
            consider(account.pendingBudgetRequests.at(*account.openBudgetRequest).sentAt
                     + kGrantTimeout);
        for (const auto &[share, view] : account.shares) {
            if (view.sendReturnsAt)
                consider(*view.sendReturnsAt);
            if (!account.waiting.empty() && !account.openBudgetRequest
                && ownerOf(organisation, share))
                consider(view.retryAt);
        }
    }
    return next;
}

void BudgetBorrower::on(const ReserveRequested &event, TimePoint now, Actions &actions)
{
    const auto limit = limits_.find(event.organisation);
    if (limit == limits_.end() || event.tokens > limit->second.burstTokens) {
        actions.emplace_back(ReservationRefused {event.request, core::ErrorCode::RateLimited});
        return;
    }
    Account &account = accountOf(event.organisation);
    if (account.waiting.size() >= kMaxWaitingRequests) {
        actions.emplace_back(ReservationRefused {event.request, core::ErrorCode::QueueFull});
        return;
    }
    account.demand.add(event.tokens, now);
    account.waiting.push_back({event.request, event.tokens, event.deadline});
    waitingOrganisations_.emplace(event.request, event.organisation);
    advance(event.organisation, account, now, actions);
}

void BudgetBorrower::on(const ReserveCancelled &event, TimePoint now, Actions &actions)
{
    const auto found = waitingOrganisations_.find(event.request);
    if (found == waitingOrganisations_.end())
        return;
    const core::OrganisationId organisation = found->second;
    waitingOrganisations_.erase(found);
    Account &account = accountOf(organisation);
    std::erase_if(account.waiting,
                  [&](const WaitingRequest &waiting) { return waiting.request == event.request; });
    advance(organisation, account, now, actions);
}

void BudgetBorrower::on(const ReservationSettled &event, TimePoint now, Actions &actions)
{
    const auto found = reservations_.find(event.request);
    if (found == reservations_.end())
        return;
    const Reservation reservation = std::move(found->second);
    reservations_.erase(found);
    Account &account = accountOf(reservation.organisation);
    closeExpiredPortions(account, now);
    std::int64_t refund =
        std::clamp<std::int64_t>(reservation.tokens - event.usedTokens, 0, reservation.tokens);
    // Refund the portions in reverse order, starting with the one that expires last.
    for (auto part = reservation.parts.rbegin(); part != reservation.parts.rend(); ++part) {
        const auto entry = account.portions.find(part->portion);
        if (entry == account.portions.end())
            continue;
        Portion &portion = entry->second;
        const std::int64_t refunded = std::min(refund, part->tokens);
        refund -= refunded;
        --portion.reservations;
        if (portion.isOpen) {
            portion.remaining += refunded;
            account.available += refunded;
        } else if (refunded > 0) {
            portion.returned += refunded;
            ShareView &view = account.shares[portion.share];
            view.unsentReturns.insert(part->portion);
            if (!view.sendReturnsAt)
                view.sendReturnsAt = now + kReturnBatchDelay;
        }
    }
    advance(reservation.organisation, account, now, actions);
}

void BudgetBorrower::on(const BudgetGrant &grant, TimePoint now, Actions &actions)
{
    if (grant.id.borrower != instance_ || grant.id.incarnation != incarnation_)
        return;
    const auto entry = accounts_.find(grant.organisation);
    if (entry == accounts_.end())
        return;
    Account &account = entry->second;
    const auto found = account.pendingBudgetRequests.find(grant.id.sequence);
    if (found == account.pendingBudgetRequests.end())
        return;
    const PendingBudgetRequest pending = found->second;
    if (!faults_.acceptRepeatedGrants)
        account.pendingBudgetRequests.erase(found);
    if (account.openBudgetRequest == grant.id.sequence)
        account.openBudgetRequest.reset();
    const TimePoint end = (faults_.lifetimeFromAnswer ? now : pending.sentAt) + kPortionLifetime;
    if (grant.tokens > 0 && end > now) {
        Portion &portion = account.portions[grant.id.sequence];
        portion.share = pending.share;
        portion.holderIncarnation = grant.holderIncarnation;
        portion.end = end;
        portion.tokens = grant.tokens;
        portion.remaining += grant.tokens;
        account.available += grant.tokens;
    }
    ShareView &view = account.shares[pending.share];
    if (!grant.isHolder) {
        view.retryAt = now + kUnresponsiveHolderDelay;
    } else if (grant.tokens < pending.wanted) {
        view.retryAt = now + grant.retryAfter;
        account.lastShortGrantAt = now;
    }
    advance(grant.organisation, account, now, actions);
}

void BudgetBorrower::on(const ShareOwnersChanged &event, TimePoint now, Actions &actions)
{
    for (auto &[organisation, account] : accounts_) {
        const std::uint32_t shard = policy_.shardOf(organisation);
        for (auto &[index, view] : account.shares) {
            const auto before = owners_.find({shard, index});
            const auto after = event.owners.find({shard, index});
            const bool hasChanged = after != event.owners.end()
                && (before == owners_.end() || before->second != after->second);
            if (hasChanged)
                view.retryAt = now;
        }
    }
    owners_ = event.owners;
    on(BorrowerTimerFired {}, now, actions);
}

void BudgetBorrower::on(const LimitChanged &event, TimePoint now, Actions &actions)
{
    if (event.limit == RateLimit {})
        limits_.erase(event.organisation);
    else
        limits_.insert_or_assign(event.organisation, event.limit);
    const auto entry = accounts_.find(event.organisation);
    if (entry == accounts_.end())
        return;
    std::deque<WaitingRequest> kept;
    for (const WaitingRequest &waiting : entry->second.waiting) {
        if (waiting.tokens <= event.limit.burstTokens) {
            kept.push_back(waiting);
            continue;
        }
        waitingOrganisations_.erase(waiting.request);
        actions.emplace_back(ReservationRefused {waiting.request, core::ErrorCode::RateLimited});
    }
    entry->second.waiting = std::move(kept);
    advance(event.organisation, entry->second, now, actions);
}

void BudgetBorrower::on(const BorrowerTimerFired & /*event*/, TimePoint now, Actions &actions)
{
    for (auto &[organisation, account] : accounts_)
        advance(organisation, account, now, actions);
    std::erase_if(accounts_, [now](const auto &entry) {
        const Account &account = entry.second;
        return account.waiting.empty() && account.portions.empty()
            && account.pendingBudgetRequests.empty() && account.demand.tokensPerSecond(now) == 0;
    });
}

BudgetBorrower::Account &BudgetBorrower::accountOf(const core::OrganisationId &organisation)
{
    const auto [entry, isNew] = accounts_.try_emplace(organisation);
    Account &account = entry->second;
    if (isNew) {
        account.shareOrder = policy_.requestOrder(organisation, instance_);
        for (const std::uint32_t share : account.shareOrder)
            account.shares.try_emplace(share);
    }
    return account;
}

void BudgetBorrower::advance(const core::OrganisationId &organisation, Account &account,
                             TimePoint now, Actions &actions)
{
    closeExpiredPortions(account, now);
    refuseExpired(account, now, actions);
    reserveForWaiting(organisation, account, now, actions);
    sendBudgetRequest(organisation, account, now, actions);
    sendReturns(organisation, account, now, actions);
}

void BudgetBorrower::closeExpiredPortions(Account &account, TimePoint now)
{
    for (const auto &[sequence, portion] : account.portions) {
        if (portion.isOpen && portion.end <= now)
            closePortion(account, sequence, now);
    }
    std::erase_if(account.portions, [&](const auto &entry) {
        const Portion &portion = entry.second;
        return !portion.isOpen && portion.reservations == 0
            && !account.shares[portion.share].unsentReturns.contains(entry.first);
    });
    std::erase_if(account.pendingBudgetRequests, [now](const auto &entry) {
        return entry.second.sentAt + kPortionLifetime <= now;
    });
    if (account.openBudgetRequest
        && !account.pendingBudgetRequests.contains(*account.openBudgetRequest))
        account.openBudgetRequest.reset();
}

/// Schedules a return at `sendAt`, so that the portion does not block accrual until the holder
/// expires it.
void BudgetBorrower::closePortion(Account &account, std::uint64_t sequence, TimePoint sendAt)
{
    Portion &portion = account.portions.at(sequence);
    portion.isOpen = false;
    portion.returned = portion.remaining;
    account.available -= portion.remaining;
    portion.remaining = 0;
    // An expired portion without unused tokens needs no return: the holder expires it too.
    if (portion.returned == 0 && portion.end <= sendAt)
        return;
    ShareView &view = account.shares[portion.share];
    view.unsentReturns.insert(sequence);
    if (!view.sendReturnsAt || *view.sendReturnsAt > sendAt)
        view.sendReturnsAt = sendAt;
}

void BudgetBorrower::refuseExpired(Account &account, TimePoint now, Actions &actions)
{
    std::erase_if(account.waiting, [&](const WaitingRequest &waiting) {
        if (waiting.deadline > now)
            return false;
        waitingOrganisations_.erase(waiting.request);
        actions.emplace_back(
            ReservationRefused {waiting.request, core::ErrorCode::DeadlineExceeded});
        return true;
    });
}

void BudgetBorrower::reserveForWaiting(const core::OrganisationId &organisation, Account &account,
                                       TimePoint now, Actions &actions)
{
    while (!account.waiting.empty() && account.waiting.front().tokens <= account.available) {
        const WaitingRequest request = account.waiting.front();
        account.waiting.pop_front();
        waitingOrganisations_.erase(request.request);
        Reservation reservation {organisation, request.tokens, {}};
        std::int64_t needed = request.tokens;
        // Sequence numbers follow the order of the budget requests and so the order of expiry.
        for (auto &[sequence, portion] : account.portions) {
            const std::int64_t taken = std::min(needed, portion.remaining);
            if (!portion.isOpen || taken == 0)
                continue;
            reservation.parts.push_back({sequence, taken});
            portion.remaining -= taken;
            ++portion.reservations;
            needed -= taken;
            account.available -= taken;
            if (portion.remaining == 0 && !isLeftToExpire(organisation, account, portion, now))
                closePortion(account, sequence,
                             isScarce(account, now) ? now : now + kReturnBatchDelay);
        }
        reservations_.emplace(request.request, std::move(reservation));
        actions.emplace_back(TokensReserved {request.request});
    }
}

/// True if a grant within the last portion lifetime was smaller than requested. Outstanding
/// portions may then keep the bucket from accruing tokens.
bool BudgetBorrower::isScarce(const Account &account, TimePoint now)
{
    return account.lastShortGrantAt && now < *account.lastShortGrantAt + kPortionLifetime;
}

bool BudgetBorrower::isLeftToExpire(const core::OrganisationId &organisation,
                                    const Account &account, const Portion &portion,
                                    TimePoint now) const
{
    const auto limit = limits_.find(organisation);
    if (limit == limits_.end())
        return false;
    const std::int64_t parts = kSmallPortionDivisor * policy_.sharesPerOrganisation();
    return !isScarce(account, now) && portion.tokens * parts < limit->second.burstTokens;
}

void BudgetBorrower::sendBudgetRequest(const core::OrganisationId &organisation, Account &account,
                                       TimePoint now, Actions &actions)
{
    if (account.waiting.empty() || account.shareOrder.empty())
        return;
    if (account.openBudgetRequest) {
        const PendingBudgetRequest &open =
            account.pendingBudgetRequests.at(*account.openBudgetRequest);
        if (now < open.sentAt + kGrantTimeout)
            return;
        account.shares[open.share].retryAt = now + kUnresponsiveHolderDelay;
        account.openBudgetRequest.reset();
    }
    for (std::size_t tried = 0; tried < account.shareOrder.size(); ++tried) {
        const std::uint32_t share = account.shareOrder[account.nextShare];
        ShareView &view = account.shares[share];
        const auto owner = ownerOf(organisation, share);
        if (!owner || view.retryAt > now) {
            account.nextShare = (account.nextShare + 1) % account.shareOrder.size();
            continue;
        }
        const std::uint64_t sequence = nextSequence_++;
        BudgetRequest message;
        message.id = makePortionId(sequence);
        message.share = {policy_.shardOf(organisation), share};
        message.organisation = organisation;
        message.wantedTokens = wantedTokens(organisation, account, now);
        message.returns = takeReturns(account, share);
        account.pendingBudgetRequests.emplace(
            sequence, PendingBudgetRequest {share, now, message.wantedTokens});
        account.openBudgetRequest = sequence;
        actions.emplace_back(SendBudgetRequest {*owner, std::move(message)});
        return;
    }
}

std::int64_t BudgetBorrower::wantedTokens(const core::OrganisationId &organisation,
                                          const Account &account, TimePoint now) const
{
    std::int64_t needed = -account.available;
    for (const WaitingRequest &waiting : account.waiting)
        needed += waiting.tokens;
    const std::int64_t first = account.waiting.front().tokens - account.available;
    const auto limit = limits_.find(organisation);
    const std::int64_t burst = limit == limits_.end() ? 0 : limit->second.burstTokens;
    return std::max(first,
                    std::min(std::max(needed, account.demand.tokensPerSecond(now)),
                             burst / kBudgetRequestBurstDivisor));
}

void BudgetBorrower::sendReturns(const core::OrganisationId &organisation, Account &account,
                                 TimePoint now, Actions &actions)
{
    for (auto &[share, view] : account.shares) {
        if (!view.sendReturnsAt || *view.sendReturnsAt > now)
            continue;
        std::vector<PortionReturn> returns = takeReturns(account, share);
        if (const auto owner = ownerOf(organisation, share))
            actions.emplace_back(SendReturn {
                *owner,
                {{policy_.shardOf(organisation), share}, organisation, std::move(returns)}});
    }
}

std::vector<PortionReturn> BudgetBorrower::takeReturns(Account &account, std::uint32_t share)
{
    ShareView &view = account.shares[share];
    std::vector<PortionReturn> returns;
    for (const std::uint64_t sequence : view.unsentReturns) {
        const Portion &portion = account.portions.at(sequence);
        returns.push_back({makePortionId(sequence), portion.holderIncarnation, portion.returned});
    }
    view.unsentReturns.clear();
    view.sendReturnsAt.reset();
    return returns;
}

std::optional<core::InstanceId> BudgetBorrower::ownerOf(const core::OrganisationId &organisation,
                                                        std::uint32_t share) const
{
    const auto found = owners_.find({policy_.shardOf(organisation), share});
    if (found == owners_.end())
        return std::nullopt;
    return found->second.instance;
}

PortionId BudgetBorrower::makePortionId(std::uint64_t sequence) const
{
    return {instance_, incarnation_, sequence};
}

} // namespace boragerack::decisions
