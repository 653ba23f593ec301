#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <vector>

#include "boragerack/decisions/ShareBucket.h"

namespace decisions = boragerack::decisions;
using namespace std::chrono_literals;
using decisions::BudgetFaults;
using decisions::PortionId;
using decisions::ShareBucket;
using decisions::TimePoint;

namespace {

constexpr decisions::RateLimit kLimit = {1000, 4000};
const TimePoint kStart {};
/// Time at which a bucket with kLimit is full.
const TimePoint kFull = kStart + 5s;

PortionId makePortionId(std::uint64_t sequence)
{
    return {{"borrower"}, 1, sequence};
}

ShareBucket makeBucket(const BudgetFaults &faults = {})
{
    return ShareBucket(kLimit, 1, kStart, faults);
}

std::int64_t availableAfterRepeatedReturn(const BudgetFaults &faults)
{
    ShareBucket bucket = makeBucket(faults);
    bucket.grant(makePortionId(1), 1000, kFull);
    bucket.refundTokens(makePortionId(1), 400, kFull);
    bucket.refundTokens(makePortionId(1), 400, kFull);
    return bucket.availableTokens(kFull);
}

std::int64_t availableAfterRepeatedRequest(const BudgetFaults &faults)
{
    ShareBucket bucket = makeBucket(faults);
    bucket.grant(makePortionId(1), 1000, kFull);
    bucket.grant(makePortionId(1), 1000, kFull);
    return bucket.availableTokens(kFull);
}

/// Spends the full bucket, spends it again after it has refilled, and then refunds the first
/// portion.
std::int64_t availableAfterLateRefund(const BudgetFaults &faults)
{
    ShareBucket bucket = makeBucket(faults);
    bucket.grant(makePortionId(1), 4000, kFull);
    bucket.refundTokens(makePortionId(1), 0, kFull);
    bucket.grant(makePortionId(2), 4000, kFull + 5s);
    bucket.refundTokens(makePortionId(2), 0, kFull + 5s);
    bucket.refundTokens(makePortionId(1), 4000, kFull + 5s);
    return bucket.availableTokens(kFull + 5s);
}

/// Tokens that can be spent at once after a portion has been held for almost its lifetime.
std::int64_t spendableAtOnce(const BudgetFaults &faults)
{
    ShareBucket bucket = makeBucket(faults);
    const std::int64_t held = bucket.grant(makePortionId(1), 4000, kFull);
    return held + bucket.availableTokens(kFull + 1999ms);
}

} // namespace

// Guards against crediting a duplicate return again.
BOOST_AUTO_TEST_CASE(returnIsCreditedOnce)
{
    BOOST_TEST(availableAfterRepeatedReturn({}) == 3400);
    BOOST_TEST(availableAfterRepeatedReturn({.creditRepeatedReturns = true}) == 3800);
}

// Guards against granting new tokens for a repeated budget request.
BOOST_AUTO_TEST_CASE(repeatedRequestGetsSameGrant)
{
    BOOST_TEST(availableAfterRepeatedRequest({}) == 3000);
    BOOST_TEST(availableAfterRepeatedRequest({.grantRepeatedRequests = true}) == 2000);
}

// Guards against crediting a refund after the bucket has filled up, which would exceed the burst.
BOOST_AUTO_TEST_CASE(refundStaysBelowHighWaterMark)
{
    BOOST_TEST(availableAfterLateRefund({}) == 0);
    BOOST_TEST(availableAfterLateRefund({.refundAboveCap = true}) == 4000);
}

// Guards against accrual that ignores outstanding portions, which would allow spending more than
// the burst at once.
BOOST_AUTO_TEST_CASE(outstandingPortionsStopAccrual)
{
    BOOST_TEST(spendableAtOnce({}) == 4000);
    BOOST_TEST(spendableAtOnce({.ignoreOutstanding = true}) > 5900);
}

// Guards against dropping a refund for which the bucket had room at all times since the grant.
BOOST_AUTO_TEST_CASE(refundBelowCapIsCreditedInFull)
{
    ShareBucket bucket = makeBucket();
    bucket.grant(makePortionId(1), 4000, kFull);
    bucket.refundTokens(makePortionId(1), 0, kFull);
    bucket.refundTokens(makePortionId(1), 1500, kFull + 1s);
    // One second accrues 1000 tokens less the 1% margin for a fast clock.
    BOOST_TEST(bucket.availableTokens(kFull + 1s) == 1500 + 990);
}

// Guards against a portion that blocks accrual forever because its return was lost.
BOOST_AUTO_TEST_CASE(lostPortionCountsAsSpentAfterLifetime)
{
    ShareBucket bucket = makeBucket();
    bucket.grant(makePortionId(1), 4000, kFull);
    BOOST_TEST(bucket.availableTokens(kFull + decisions::kPortionLifetimeWithDrift) == 0);
    BOOST_TEST(bucket.availableTokens(kFull + decisions::kPortionLifetimeWithDrift + 1s) == 990);
}

// Guards against high-water marks that credit more or less than a bucket would contain if the
// reservation had been smaller from the start.
BOOST_AUTO_TEST_CASE(refundEqualsSmallerReservation)
{
    BOOST_TEST(rc::check([] {
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 900), rc::gen::inRange(0, 2500)));
        const int refund = *rc::gen::inRange(0, 2500);
        ShareBucket refunded = makeBucket();
        ShareBucket smaller = makeBucket();
        const std::int64_t first = refunded.grant(makePortionId(0), 2500, kFull);
        refunded.refundTokens(makePortionId(0), 0, kFull);
        smaller.grant(makePortionId(0), first - refund, kFull);
        smaller.refundTokens(makePortionId(0), 0, kFull);
        TimePoint now = kFull;
        std::uint64_t sequence = 1;
        for (const auto &[pause, wanted] : steps) {
            now += std::chrono::milliseconds(pause);
            const std::int64_t granted = refunded.grant(makePortionId(sequence), wanted, now);
            refunded.refundTokens(makePortionId(sequence), 0, now);
            RC_ASSERT(smaller.grant(makePortionId(sequence), granted, now) == granted);
            smaller.refundTokens(makePortionId(sequence), 0, now);
            ++sequence;
        }
        refunded.refundTokens(makePortionId(0), refund, now);
        RC_ASSERT(refunded.availableTokens(now) == smaller.availableTokens(now));
    }));
}
