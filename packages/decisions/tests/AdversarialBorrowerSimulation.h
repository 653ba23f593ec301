#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include "EventSimulator.h"
#include "SpendingRecorder.h"
#include "boragerack/core/SeededRandomSource.h"
#include "boragerack/decisions/BudgetHolder.h"
#include "boragerack/decisions/ShareTable.h"
#include "boragerack/decisions/SingleOwnerPolicy.h"

namespace boragerack::decisions::testing {

/// Simulates one share and a borrower that exploits all timing the protocol permits: it requests up
/// to the whole bucket, spends a portion as late as its clock allows, settles late and repeats
/// messages. The holder restarts at random. Spending comes much closer to the limit than with
/// ordinary requests.
class AdversarialBorrowerSimulation
{
public:
    AdversarialBorrowerSimulation(std::uint64_t seed, const BudgetFaults &faults,
                                  std::shared_ptr<const ShareBinding> chart)
        : faults_(faults)
        , chart_(std::move(chart))
        , random_(seed)
    {
        restartHolder();
        step();
    }

    std::int64_t run(std::int64_t duration)
    {
        time_.runUntil(duration);
        return recorder_.worstExcess(limit_);
    }

    std::int64_t spent() const { return recorder_.total(); }

private:
    struct HeldPortion
    {
        std::int64_t requestedAt = 0;
        std::uint64_t holderIncarnation = 0;
        std::int64_t tokens = 0;
        std::int64_t returned = 0;
        std::optional<std::size_t> entry;
        bool isAnswered = false;
    };

    std::int64_t draw(std::int64_t low, std::int64_t high)
    {
        return low
            + static_cast<std::int64_t>(random_.next()
                                        % static_cast<std::uint64_t>(high - low + 1));
    }

    TimePoint holderTime() const
    {
        // The holder's clock is 1% faster than that of the borrower, which shows true time.
        return TimePoint(std::chrono::nanoseconds(time_.now() / 100 * 101));
    }

    void restartHolder()
    {
        ++holderIncarnation_;
        table_ = std::make_unique<ShareTable>(ShareOwner {self_, holderIncarnation_}, chart_,
                                              policy_, faults_);
        holder_ = std::make_unique<BudgetHolder>(holderIncarnation_, 1, faults_);
        holder_->handle(LimitChanged {organisation_, limit_}, holderTime());
        tableEvent(ShareTableRead {holderIncarnation_, {{share_, {self_, holderIncarnation_}}}});
    }

    void tableEvent(const ShareTableEvent &event)
    {
        for (const ShareTableAction &action : table_->handle(event, holderTime())) {
            if (const auto *started = std::get_if<ShareGrantingStarted>(&action))
                holder_->handle(*started, holderTime());
        }
    }

    void step()
    {
        time_.after(draw(1, 60) * kMillisecond, [this] { step(); });
        tableEvent(ShareTableTimerFired {});
        // The bucket fills in idle periods, so that an excess over the burst can occur.
        const bool isIdle = time_.now() / kSecond % 14 >= 5;
        if (isIdle)
            return;
        const std::uint64_t sequence = nextSequence_++;
        held_[sequence].requestedAt = time_.now();
        BudgetRequest request;
        request.id = {self_, 1, sequence};
        request.share = share_;
        request.organisation = organisation_;
        request.wantedTokens = draw(1, 6) == 1 ? limit_.burstTokens : draw(1, 300);
        deliverCopies([this, request] {
            for (const HolderAction &action : holder_->handle(request, holderTime())) {
                const BudgetGrant grant = std::get<SendGrant>(action).grant;
                time_.after(drawDelay(), [this, grant] { acceptGrant(grant); });
            }
        });
    }

    void acceptGrant(const BudgetGrant &grant)
    {
        HeldPortion &held = held_.at(grant.id.sequence);
        // Last nanosecond of the portion lifetime.
        const std::int64_t end = held.requestedAt + 2 * kSecond - 1;
        if (held.isAnswered || time_.now() > end)
            return;
        held.isAnswered = true;
        held.holderIncarnation = grant.holderIncarnation;
        held.tokens = grant.tokens;
        if (grant.tokens == 0)
            return;
        // The worst time for a restart: most of the bucket has just been granted.
        if (grant.tokens > limit_.burstTokens / 2 && draw(1, 4) == 1)
            time_.after(drawDelay(), [this] { restartHolder(); });
        const std::int64_t when = draw(1, 3) == 1 ? draw(time_.now(), end) : end;
        time_.at(when, [this, sequence = grant.id.sequence] { spend(sequence); });
    }

    void spend(std::uint64_t sequence)
    {
        HeldPortion &held = held_.at(sequence);
        const std::int64_t amount = draw(1, 8) == 1 ? draw(0, held.tokens) : held.tokens;
        held.entry = recorder_.add(time_.now(), amount);
        held.returned = held.tokens - amount;
        sendReturn(sequence);
        // Refunds reduce the spending, so only large portions are always settled.
        if (amount > 0 && (amount > 1000 || draw(1, 6) == 1))
            time_.after(draw(1, 16'000) * kMillisecond, [this, sequence] { settle(sequence); });
    }

    void settle(std::uint64_t sequence)
    {
        HeldPortion &held = held_.at(sequence);
        const std::int64_t used = draw(0, held.tokens - held.returned);
        recorder_.settle(*held.entry, used);
        held.returned = held.tokens - used;
        sendReturn(sequence);
    }

    void sendReturn(std::uint64_t sequence)
    {
        const HeldPortion &held = held_.at(sequence);
        const BudgetReturn message {
            share_, organisation_, {{{self_, 1, sequence}, held.holderIncarnation, held.returned}}};
        deliverCopies([this, message] { holder_->handle(message, holderTime()); });
    }

    std::int64_t drawDelay()
    {
        return draw(1, 5) == 1 ? draw(0, 900 * kMillisecond) : draw(0, 2 * kMillisecond);
    }

    /// Delivers the message one to three times, or drops it with a probability of 1 in 40.
    void deliverCopies(const std::function<void()> &deliver)
    {
        const std::int64_t copies = draw(1, 40) == 1 ? 0 : draw(1, 3);
        for (std::int64_t copy = 0; copy < copies; ++copy)
            time_.after(drawDelay(), deliver);
    }

    BudgetFaults faults_;
    std::shared_ptr<const ShareBinding> chart_;
    core::SeededRandomSource random_;
    EventSimulator time_;
    SpendingRecorder recorder_;
    const RateLimit limit_ = {1000, 4000};
    const core::InstanceId self_ = {"node-0"};
    const core::OrganisationId organisation_ = {"yards"};
    SingleOwnerPolicy policy_;
    const ShareKey share_ = {policy_.shardOf(organisation_), 0};
    std::uint64_t holderIncarnation_ = 0;
    std::uint64_t nextSequence_ = 1;
    std::unique_ptr<ShareTable> table_;
    std::unique_ptr<BudgetHolder> holder_;
    std::map<std::uint64_t, HeldPortion> held_;
};

} // namespace boragerack::decisions::testing
