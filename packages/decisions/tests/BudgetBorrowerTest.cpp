#include <boost/test/unit_test.hpp>

#include <optional>

#include "boragerack/decisions/BudgetBorrower.h"
#include "boragerack/decisions/MultipleOwnersPolicy.h"

using namespace std::chrono_literals;
using namespace boragerack::decisions;
namespace core = boragerack::core;

namespace {

const core::OrganisationId kOrganisation = {"yards"};
const TimePoint kStart {};
const MultipleOwnersPolicy kPolicy(2);

template<class Action>
std::optional<Action> findAction(const std::vector<BorrowerAction> &actions)
{
    for (const BorrowerAction &action : actions) {
        if (const auto *found = std::get_if<Action>(&action))
            return *found;
    }
    return std::nullopt;
}

BudgetBorrower makeBorrower(const BudgetFaults &faults = {})
{
    BudgetBorrower borrower({"node-0"}, 1, kPolicy, faults);
    borrower.handle(LimitChanged {kOrganisation, {1000, 4000}}, kStart);
    ShareOwners owners;
    const std::uint32_t shard = kPolicy.shardOf(kOrganisation);
    owners.emplace(ShareKey {shard, 0}, ShareOwner {{"holder-0"}, 1});
    owners.emplace(ShareKey {shard, 1}, ShareOwner {{"holder-1"}, 1});
    borrower.handle(ShareOwnersChanged {owners}, kStart);
    return borrower;
}

ReserveRequested reserve(RequestNumber request, std::int64_t tokens, TimePoint deadline)
{
    return {request, kOrganisation, tokens, deadline};
}

BudgetGrant answer(const BudgetRequest &ask, std::int64_t tokens)
{
    return {ask.id, ask.share, ask.organisation, 7, true, tokens, 500ms};
}

/// Whether tokens that were asked for at the start and arrive after 300 ms can be spent at 2.1 s.
bool spendsAfterLifetime(const BudgetFaults &faults)
{
    BudgetBorrower borrower = makeBorrower(faults);
    const auto ask =
        findAction<SendBudgetRequest>(borrower.handle(reserve(1, 100, kStart + 30s), kStart));
    BOOST_REQUIRE(ask.has_value());
    borrower.handle(answer(ask->ask, 1000), kStart + 300ms);
    return findAction<TokensReserved>(
               borrower.handle(reserve(2, 100, kStart + 30s), kStart + 2100ms))
        .has_value();
}

bool spendsRepeatedGrant(const BudgetFaults &faults)
{
    BudgetBorrower borrower = makeBorrower(faults);
    const auto ask =
        findAction<SendBudgetRequest>(borrower.handle(reserve(1, 100, kStart + 30s), kStart));
    BOOST_REQUIRE(ask.has_value());
    borrower.handle(answer(ask->ask, 150), kStart + 2ms);
    borrower.handle(answer(ask->ask, 150), kStart + 3ms);
    return findAction<TokensReserved>(borrower.handle(reserve(2, 100, kStart + 30s), kStart + 4ms))
        .has_value();
}

} // namespace

// Guards against spending a portion that its holder already counts as spent.
BOOST_AUTO_TEST_CASE(portionLifetimeCountsFromAsk)
{
    BOOST_TEST(!spendsAfterLifetime({}));
    BOOST_TEST(spendsAfterLifetime({.lifetimeFromAnswer = true}));
}

// Guards against adding the tokens of a repeated grant.
BOOST_AUTO_TEST_CASE(repeatedGrantIsTakenOnce)
{
    BOOST_TEST(!spendsRepeatedGrant({}));
    BOOST_TEST(spendsRepeatedGrant({.acceptRepeatedGrants = true}));
}

// Guards against refusing a request at once although a portion is on its way, and against waiting
// beyond its deadline.
BOOST_AUTO_TEST_CASE(requestWaitsForPortionUntilDeadline)
{
    BudgetBorrower borrower = makeBorrower();
    const auto first = borrower.handle(reserve(1, 500, kStart + 10s), kStart);
    BOOST_TEST(!findAction<ReservationRefused>(first).has_value());
    const auto ask = findAction<SendBudgetRequest>(first);
    BOOST_REQUIRE(ask.has_value());
    BOOST_TEST(findAction<TokensReserved>(borrower.handle(answer(ask->ask, 500), kStart + 2ms))
                   .has_value());

    borrower.handle(reserve(2, 500, kStart + 10s), kStart + 3ms);
    BOOST_TEST(
        !findAction<ReservationRefused>(borrower.handle(BorrowerTimerFired {}, kStart + 9999ms))
             .has_value());
    const auto refused =
        findAction<ReservationRefused>(borrower.handle(BorrowerTimerFired {}, kStart + 10s));
    BOOST_REQUIRE(refused.has_value());
    BOOST_TEST(refused->request == 2U);
    BOOST_TEST((refused->code == core::ErrorCode::DeadlineExceeded));
}

// Guards against giving up when one holder has too little, or does not answer.
BOOST_AUTO_TEST_CASE(otherHolderIsAsked)
{
    BudgetBorrower borrower = makeBorrower();
    const auto first =
        findAction<SendBudgetRequest>(borrower.handle(reserve(1, 500, kStart + 10s), kStart));
    BOOST_REQUIRE(first.has_value());
    const auto second =
        findAction<SendBudgetRequest>(borrower.handle(answer(first->ask, 200), kStart + 2ms));
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->to != first->to);
    BOOST_TEST(findAction<TokensReserved>(borrower.handle(answer(second->ask, 300), kStart + 4ms))
                   .has_value());

    const auto silent =
        findAction<SendBudgetRequest>(borrower.handle(reserve(2, 100, kStart + 10s), kStart + 1s));
    BOOST_REQUIRE(silent.has_value());
    const auto other =
        findAction<SendBudgetRequest>(borrower.handle(BorrowerTimerFired {}, kStart + 1100ms));
    BOOST_REQUIRE(other.has_value());
    BOOST_TEST(other->to != silent->to);
}

// Guards against keeping unused tokens from the other nodes, and against refunds that get lost.
BOOST_AUTO_TEST_CASE(unusedTokensGoBack)
{
    BudgetBorrower borrower = makeBorrower();
    const auto ask =
        findAction<SendBudgetRequest>(borrower.handle(reserve(1, 500, kStart + 10s), kStart));
    BOOST_REQUIRE(ask.has_value());
    borrower.handle(answer(ask->ask, 700), kStart + 2ms);
    const auto ended = findAction<SendReturn>(borrower.handle(BorrowerTimerFired {}, kStart + 2s));
    BOOST_REQUIRE(ended.has_value());
    BOOST_TEST(ended->message.returns.front().returnedTotal == 200);
    BOOST_TEST(ended->message.returns.front().holderIncarnation == 7U);

    borrower.handle(ReservationSettled {1, 100}, kStart + 5s);
    const auto refund = findAction<SendReturn>(borrower.handle(BorrowerTimerFired {}, kStart + 6s));
    BOOST_REQUIRE(refund.has_value());
    BOOST_TEST(refund->message.returns.front().returnedTotal == 600);
}

// Guards against a refund within the portion's lifetime that needs a message to be spent again.
BOOST_AUTO_TEST_CASE(refundIsSpentAgainWithinLifetime)
{
    BudgetBorrower borrower = makeBorrower();
    const auto ask =
        findAction<SendBudgetRequest>(borrower.handle(reserve(1, 500, kStart + 10s), kStart));
    BOOST_REQUIRE(ask.has_value());
    borrower.handle(answer(ask->ask, 501), kStart + 2ms);
    borrower.handle(ReservationSettled {1, 100}, kStart + 1s);
    BOOST_TEST(
        findAction<TokensReserved>(borrower.handle(reserve(2, 401, kStart + 10s), kStart + 1500ms))
            .has_value());
}

// Guards against holding a request that can never get its tokens.
BOOST_AUTO_TEST_CASE(requestAboveBurstIsRefusedAtOnce)
{
    BudgetBorrower borrower = makeBorrower();
    BOOST_TEST(
        findAction<ReservationRefused>(borrower.handle(reserve(1, 4001, kStart + 10s), kStart))
            .has_value());
}
