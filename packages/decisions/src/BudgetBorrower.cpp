#include "boragerack/decisions/BudgetBorrower.h"

#include <algorithm>
#include <utility>

namespace boragerack::decisions {

namespace {

/// A holder that has not answered by then is passed over, and the next one is asked. Messages take
/// a few milliseconds within a region.
constexpr std::chrono::milliseconds kAnswerTimeout(100);

/// Pause before a silent holder, or one that is not holder any more, is asked again.
constexpr std::chrono::milliseconds kSilentHolderPause(1000);

/// Refunds are collected for this long, so that they travel together or with an ask.
constexpr std::chrono::milliseconds kReturnDelay(250);

/// An ask takes at most this part of the burst beyond what its first request needs, since accrual
/// stops while portions and level fill the bucket. With a quarter, a burst of one second of rate
/// made requests wait within the rate.
constexpr std::int64_t kBurstFraction = 16;

/// A used portion below this part of its share's bucket is left to expire at the holder, which
/// saves a message. Many nodes with little demand each would otherwise double their traffic.
constexpr std::int64_t kSmallPortionFraction = 64;

constexpr std::size_t kMaxWaiting = 1024;

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
        for (const Waiting &waiting : account.waiting)
            consider(waiting.deadline);
        for (const auto &[sequence, portion] : account.portions) {
            if (portion.isOpen)
                consider(portion.end);
        }
        if (account.openAsk && !account.waiting.empty())
            consider(account.asks.at(*account.openAsk).sentAt + kAnswerTimeout);
        for (const auto &[share, view] : account.shares) {
            if (view.sendReturnsAt)
                consider(*view.sendReturnsAt);
            if (!account.waiting.empty() && !account.openAsk && ownerOf(organisation, share))
                consider(view.notBefore);
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
    if (account.waiting.size() >= kMaxWaiting) {
        actions.emplace_back(ReservationRefused {event.request, core::ErrorCode::QueueFull});
        return;
    }
    account.demand.add(event.tokens, now);
    account.waiting.push_back({event.request, event.tokens, event.deadline});
    waitingIn_.emplace(event.request, event.organisation);
    advance(event.organisation, account, now, actions);
}

void BudgetBorrower::on(const ReserveCancelled &event, TimePoint now, Actions &actions)
{
    const auto found = waitingIn_.find(event.request);
    if (found == waitingIn_.end())
        return;
    const core::OrganisationId organisation = found->second;
    waitingIn_.erase(found);
    Account &account = accountOf(organisation);
    std::erase_if(account.waiting,
                  [&](const Waiting &waiting) { return waiting.request == event.request; });
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
    endPortions(account, now);
    std::int64_t refund =
        std::clamp<std::int64_t>(reservation.tokens - event.usedTokens, 0, reservation.tokens);
    // The last part comes from the portion that lives longest.
    for (auto part = reservation.parts.rbegin(); part != reservation.parts.rend(); ++part) {
        const auto entry = account.portions.find(part->portion);
        if (entry == account.portions.end())
            continue;
        Portion &portion = entry->second;
        const std::int64_t back = std::min(refund, part->tokens);
        refund -= back;
        --portion.reservations;
        if (portion.isOpen) {
            portion.remaining += back;
            account.available += back;
        } else if (back > 0) {
            portion.returned += back;
            ShareView &view = account.shares[portion.share];
            view.unsentReturns.insert(part->portion);
            if (!view.sendReturnsAt)
                view.sendReturnsAt = now + kReturnDelay;
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
    const auto found = account.asks.find(grant.id.sequence);
    if (found == account.asks.end())
        return;
    const PendingAsk pending = found->second;
    if (!faults_.acceptRepeatedGrants)
        account.asks.erase(found);
    if (account.openAsk == grant.id.sequence)
        account.openAsk.reset();
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
        view.notBefore = now + kSilentHolderPause;
    } else if (grant.tokens < pending.wanted) {
        view.notBefore = now + grant.retryAfter;
        account.lastShortGrant = now;
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
                view.notBefore = now;
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
    std::deque<Waiting> kept;
    for (const Waiting &waiting : entry->second.waiting) {
        if (waiting.tokens <= event.limit.burstTokens) {
            kept.push_back(waiting);
            continue;
        }
        waitingIn_.erase(waiting.request);
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
        return account.waiting.empty() && account.portions.empty() && account.asks.empty()
            && account.demand.tokensPerSecond(now) == 0;
    });
}

BudgetBorrower::Account &BudgetBorrower::accountOf(const core::OrganisationId &organisation)
{
    const auto [entry, isNew] = accounts_.try_emplace(organisation);
    Account &account = entry->second;
    if (isNew) {
        account.order = policy_.askOrder(organisation, instance_);
        for (const std::uint32_t share : account.order)
            account.shares.try_emplace(share);
    }
    return account;
}

void BudgetBorrower::advance(const core::OrganisationId &organisation, Account &account,
                             TimePoint now, Actions &actions)
{
    endPortions(account, now);
    refuseLate(account, now, actions);
    serve(organisation, account, now, actions);
    ask(organisation, account, now, actions);
    sendReturns(organisation, account, now, actions);
}

void BudgetBorrower::endPortions(Account &account, TimePoint now)
{
    for (const auto &[sequence, portion] : account.portions) {
        if (portion.isOpen && portion.end <= now)
            endPortion(account, sequence, now);
    }
    std::erase_if(account.portions, [&](const auto &entry) {
        const Portion &portion = entry.second;
        return !portion.isOpen && portion.reservations == 0
            && !account.shares[portion.share].unsentReturns.contains(entry.first);
    });
    std::erase_if(account.asks, [now](const auto &entry) {
        return entry.second.sentAt + kPortionLifetime <= now;
    });
    if (account.openAsk && !account.asks.contains(*account.openAsk))
        account.openAsk.reset();
}

/// Tells the holder at once, so that the portion does not block accrual until it expires there.
void BudgetBorrower::endPortion(Account &account, std::uint64_t sequence, TimePoint sendAt)
{
    Portion &portion = account.portions.at(sequence);
    portion.isOpen = false;
    portion.returned = portion.remaining;
    account.available -= portion.remaining;
    portion.remaining = 0;
    // At its end a portion without unused tokens expires at the holder by itself.
    if (portion.returned == 0 && portion.end <= sendAt)
        return;
    ShareView &view = account.shares[portion.share];
    view.unsentReturns.insert(sequence);
    if (!view.sendReturnsAt || *view.sendReturnsAt > sendAt)
        view.sendReturnsAt = sendAt;
}

void BudgetBorrower::refuseLate(Account &account, TimePoint now, Actions &actions)
{
    std::erase_if(account.waiting, [&](const Waiting &waiting) {
        if (waiting.deadline > now)
            return false;
        waitingIn_.erase(waiting.request);
        actions.emplace_back(
            ReservationRefused {waiting.request, core::ErrorCode::DeadlineExceeded});
        return true;
    });
}

void BudgetBorrower::serve(const core::OrganisationId &organisation, Account &account,
                           TimePoint now, Actions &actions)
{
    while (!account.waiting.empty() && account.waiting.front().tokens <= account.available) {
        const Waiting request = account.waiting.front();
        account.waiting.pop_front();
        waitingIn_.erase(request.request);
        Reservation reservation {organisation, request.tokens, {}};
        std::int64_t needed = request.tokens;
        // Sequences follow the order of the asks and so the order of expiry.
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
                endPortion(account, sequence, isScarce(account, now) ? now : now + kReturnDelay);
        }
        reservations_.emplace(request.request, std::move(reservation));
        actions.emplace_back(TokensReserved {request.request});
    }
}

/// While grants fall short, outstanding portions may be what stops accrual.
bool BudgetBorrower::isScarce(const Account &account, TimePoint now)
{
    return account.lastShortGrant && now < *account.lastShortGrant + kPortionLifetime;
}

bool BudgetBorrower::isLeftToExpire(const core::OrganisationId &organisation,
                                    const Account &account, const Portion &portion,
                                    TimePoint now) const
{
    const auto limit = limits_.find(organisation);
    if (limit == limits_.end())
        return false;
    const std::int64_t parts = kSmallPortionFraction * policy_.sharesPerOrganisation();
    return !isScarce(account, now) && portion.tokens * parts < limit->second.burstTokens;
}

void BudgetBorrower::ask(const core::OrganisationId &organisation, Account &account, TimePoint now,
                         Actions &actions)
{
    if (account.waiting.empty() || account.order.empty())
        return;
    if (account.openAsk) {
        const PendingAsk &open = account.asks.at(*account.openAsk);
        if (now < open.sentAt + kAnswerTimeout)
            return;
        account.shares[open.share].notBefore = now + kSilentHolderPause;
        account.openAsk.reset();
    }
    for (std::size_t tried = 0; tried < account.order.size(); ++tried) {
        const std::uint32_t share = account.order[account.position];
        ShareView &view = account.shares[share];
        const auto owner = ownerOf(organisation, share);
        if (!owner || view.notBefore > now) {
            account.position = (account.position + 1) % account.order.size();
            continue;
        }
        const std::uint64_t sequence = nextSequence_++;
        BudgetRequest message;
        message.id = makeId(sequence);
        message.share = {policy_.shardOf(organisation), share};
        message.organisation = organisation;
        message.wantedTokens = wantedTokens(organisation, account, now);
        message.returns = takeReturns(account, share);
        account.asks.emplace(sequence, PendingAsk {share, now, message.wantedTokens});
        account.openAsk = sequence;
        actions.emplace_back(SendBudgetRequest {*owner, std::move(message)});
        return;
    }
}

std::int64_t BudgetBorrower::wantedTokens(const core::OrganisationId &organisation,
                                          const Account &account, TimePoint now) const
{
    std::int64_t needed = -account.available;
    for (const Waiting &waiting : account.waiting)
        needed += waiting.tokens;
    const std::int64_t first = account.waiting.front().tokens - account.available;
    const auto limit = limits_.find(organisation);
    const std::int64_t burst = limit == limits_.end() ? 0 : limit->second.burstTokens;
    return std::max(
        first,
        std::min(std::max(needed, account.demand.tokensPerSecond(now)), burst / kBurstFraction));
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
        returns.push_back({makeId(sequence), portion.holderIncarnation, portion.returned});
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

PortionId BudgetBorrower::makeId(std::uint64_t sequence) const
{
    return {instance_, incarnation_, sequence};
}

} // namespace boragerack::decisions
