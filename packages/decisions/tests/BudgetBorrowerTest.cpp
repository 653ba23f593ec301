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

ReserveRequested makeReserve(RequestNumber request, std::int64_t tokens, TimePoint deadline)
{
    return {request, kOrganisation, tokens, deadline};
}

BudgetGrant makeGrant(const BudgetRequest &ask, std::int64_t tokens)
{
    return {ask.id, ask.share, ask.organisation, 7, true, tokens, 500ms};
}

/// Returns whether tokens requested at kStart and granted after 300 ms can be spent at 2.1 s.
bool canSpendAfterLifetime(const BudgetFaults &faults)
{
    BudgetBorrower borrower = makeBorrower(faults);
    const auto sent =
        findAction<SendBudgetRequest>(borrower.handle(makeReserve(1, 100, kStart + 30s), kStart));
    BOOST_REQUIRE(sent.has_value());
    borrower.handle(makeGrant(sent->request, 1000), kStart + 300ms);
    return findAction<TokensReserved>(
               borrower.handle(makeReserve(2, 100, kStart + 30s), kStart + 2100ms))
        .has_value();
}

bool canSpendRepeatedGrant(const BudgetFaults &faults)
{
    BudgetBorrower borrower = makeBorrower(faults);
    const auto sent =
        findAction<SendBudgetRequest>(borrower.handle(makeReserve(1, 100, kStart + 30s), kStart));
    BOOST_REQUIRE(sent.has_value());
    borrower.handle(makeGrant(sent->request, 150), kStart + 2ms);
    borrower.handle(makeGrant(sent->request, 150), kStart + 3ms);
    return findAction<TokensReserved>(
               borrower.handle(makeReserve(2, 100, kStart + 30s), kStart + 4ms))
        .has_value();
}

} // namespace

// Guards against spending a portion that its holder already counts as spent.
BOOST_AUTO_TEST_CASE(portionLifetimeStartsAtBudgetRequest)
{
    BOOST_TEST(!canSpendAfterLifetime({}));
    BOOST_TEST(canSpendAfterLifetime({.lifetimeFromAnswer = true}));
}

// Guards against adding the tokens of a duplicate grant again.
BOOST_AUTO_TEST_CASE(repeatedGrantIsAcceptedOnce)
{
    BOOST_TEST(!canSpendRepeatedGrant({}));
    BOOST_TEST(canSpendRepeatedGrant({.acceptRepeatedGrants = true}));
}

// Guards against refusing a request while a budget request is outstanding, and against keeping it
// beyond its deadline.
BOOST_AUTO_TEST_CASE(requestWaitsForPortionUntilDeadline)
{
    BudgetBorrower borrower = makeBorrower();
    const auto first = borrower.handle(makeReserve(1, 500, kStart + 10s), kStart);
    BOOST_TEST(!findAction<ReservationRefused>(first).has_value());
    const auto sent = findAction<SendBudgetRequest>(first);
    BOOST_REQUIRE(sent.has_value());
    BOOST_TEST(
        findAction<TokensReserved>(borrower.handle(makeGrant(sent->request, 500), kStart + 2ms))
            .has_value());

    borrower.handle(makeReserve(2, 500, kStart + 10s), kStart + 3ms);
    BOOST_TEST(
        !findAction<ReservationRefused>(borrower.handle(BorrowerTimerFired {}, kStart + 9999ms))
             .has_value());
    const auto refused =
        findAction<ReservationRefused>(borrower.handle(BorrowerTimerFired {}, kStart + 10s));
    BOOST_REQUIRE(refused.has_value());
    BOOST_TEST(refused->request == 2U);
    BOOST_TEST((refused->code == core::ErrorCode::DeadlineExceeded));
}

// Guards against not requesting tokens from another holder when one grants too few or does not
// respond.
BOOST_AUTO_TEST_CASE(otherHolderReceivesBudgetRequest)
{
    BudgetBorrower borrower = makeBorrower();
    const auto first =
        findAction<SendBudgetRequest>(borrower.handle(makeReserve(1, 500, kStart + 10s), kStart));
    BOOST_REQUIRE(first.has_value());
    const auto second = findAction<SendBudgetRequest>(
        borrower.handle(makeGrant(first->request, 200), kStart + 2ms));
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->to != first->to);
    BOOST_TEST(
        findAction<TokensReserved>(borrower.handle(makeGrant(second->request, 300), kStart + 4ms))
            .has_value());

    const auto unanswered = findAction<SendBudgetRequest>(
        borrower.handle(makeReserve(2, 100, kStart + 10s), kStart + 1s));
    BOOST_REQUIRE(unanswered.has_value());
    const auto other =
        findAction<SendBudgetRequest>(borrower.handle(BorrowerTimerFired {}, kStart + 1100ms));
    BOOST_REQUIRE(other.has_value());
    BOOST_TEST(other->to != unanswered->to);
}

// Guards against unused tokens that are not returned when a portion expires, and against refunds
// after that which are not returned.
BOOST_AUTO_TEST_CASE(unusedTokensAreReturned)
{
    BudgetBorrower borrower = makeBorrower();
    const auto sent =
        findAction<SendBudgetRequest>(borrower.handle(makeReserve(1, 500, kStart + 10s), kStart));
    BOOST_REQUIRE(sent.has_value());
    borrower.handle(makeGrant(sent->request, 700), kStart + 2ms);
    const auto ended = findAction<SendReturn>(borrower.handle(BorrowerTimerFired {}, kStart + 2s));
    BOOST_REQUIRE(ended.has_value());
    BOOST_TEST(ended->message.returns.front().returnedTotal == 200);
    BOOST_TEST(ended->message.returns.front().holderIncarnation == 7U);

    borrower.handle(ReservationSettled {1, 100}, kStart + 5s);
    const auto refund = findAction<SendReturn>(borrower.handle(BorrowerTimerFired {}, kStart + 6s));
    BOOST_REQUIRE(refund.has_value());
    BOOST_TEST(refund->message.returns.front().returnedTotal == 600);
}

// Guards against a refund within the portion's lifetime that cannot be spent again without another
// message to the holder.
BOOST_AUTO_TEST_CASE(refundIsSpentAgainWithinLifetime)
{
    BudgetBorrower borrower = makeBorrower();
    const auto sent =
        findAction<SendBudgetRequest>(borrower.handle(makeReserve(1, 500, kStart + 10s), kStart));
    BOOST_REQUIRE(sent.has_value());
    borrower.handle(makeGrant(sent->request, 501), kStart + 2ms);
    borrower.handle(ReservationSettled {1, 100}, kStart + 1s);
    BOOST_TEST(findAction<TokensReserved>(
                   borrower.handle(makeReserve(2, 401, kStart + 10s), kStart + 1500ms))
                   .has_value());
}

// Guards against tokens that are returned twice, or for a request that reserved none.
BOOST_AUTO_TEST_CASE(onlyReservedTokensAreReturnedOnce)
{
    BudgetBorrower borrower = makeBorrower();
    const auto sent =
        findAction<SendBudgetRequest>(borrower.handle(makeReserve(1, 500, kStart + 10s), kStart));
    BOOST_REQUIRE(sent.has_value());
    borrower.handle(makeGrant(sent->request, 501), kStart + 2ms);
    // This request waits for tokens until it gives up.
    borrower.handle(makeReserve(2, 500, kStart + 10s), kStart + 3ms);
    borrower.handle(ReservationSettled {2, 0}, kStart + 4ms);
    borrower.handle(ReserveCancelled {2}, kStart + 5ms);
    for (int i = 0; i < 3; ++i)
        borrower.handle(ReservationSettled {1, 0}, kStart + 6ms);
    BOOST_TEST(
        findAction<TokensReserved>(borrower.handle(makeReserve(3, 500, kStart + 10s), kStart + 7ms))
            .has_value());
    BOOST_TEST(
        !findAction<TokensReserved>(borrower.handle(makeReserve(4, 2, kStart + 10s), kStart + 8ms))
             .has_value());
}

// Guards against queueing a request that needs more tokens than the burst and can never be served.
BOOST_AUTO_TEST_CASE(requestAboveBurstIsRefusedImmediately)
{
    BudgetBorrower borrower = makeBorrower();
    BOOST_TEST(
        findAction<ReservationRefused>(borrower.handle(makeReserve(1, 4001, kStart + 10s), kStart))
            .has_value());
}
