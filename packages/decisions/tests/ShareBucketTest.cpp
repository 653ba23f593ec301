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
/// The bucket of kLimit is full by then.
const TimePoint kFull = kStart + 5s;

PortionId portion(std::uint64_t sequence)
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
    bucket.grant(portion(1), 1000, kFull);
    bucket.refundTokens(portion(1), 400, kFull);
    bucket.refundTokens(portion(1), 400, kFull);
    return bucket.availableTokens(kFull);
}

std::int64_t availableAfterRepeatedAsk(const BudgetFaults &faults)
{
    ShareBucket bucket = makeBucket(faults);
    bucket.grant(portion(1), 1000, kFull);
    bucket.grant(portion(1), 1000, kFull);
    return bucket.availableTokens(kFull);
}

/// Spends the whole bucket twice, the second time when it is full again; then the first spending
/// is refunded.
std::int64_t availableAfterLateRefund(const BudgetFaults &faults)
{
    ShareBucket bucket = makeBucket(faults);
    bucket.grant(portion(1), 4000, kFull);
    bucket.refundTokens(portion(1), 0, kFull);
    bucket.grant(portion(2), 4000, kFull + 5s);
    bucket.refundTokens(portion(2), 0, kFull + 5s);
    bucket.refundTokens(portion(1), 4000, kFull + 5s);
    return bucket.availableTokens(kFull + 5s);
}

/// Tokens that can be spent at one moment after a portion has been held for almost its lifetime.
std::int64_t spendableAtOnce(const BudgetFaults &faults)
{
    ShareBucket bucket = makeBucket(faults);
    const std::int64_t held = bucket.grant(portion(1), 4000, kFull);
    return held + bucket.availableTokens(kFull + 1999ms);
}

} // namespace

// Guards against crediting a return again when its message is repeated.
BOOST_AUTO_TEST_CASE(returnIsCreditedOnce)
{
    BOOST_TEST(availableAfterRepeatedReturn({}) == 3400);
    BOOST_TEST(availableAfterRepeatedReturn({.creditRepeatedReturns = true}) == 3800);
}

// Guards against taking new tokens from the bucket for a repeated ask.
BOOST_AUTO_TEST_CASE(repeatedAskGetsSameGrant)
{
    BOOST_TEST(availableAfterRepeatedAsk({}) == 3000);
    BOOST_TEST(availableAfterRepeatedAsk({.grantRepeatedAsks = true}) == 2000);
}

// Guards against a refund that gives back tokens which the full bucket has already replaced.
BOOST_AUTO_TEST_CASE(refundStaysBelowHighWaterMark)
{
    BOOST_TEST(availableAfterLateRefund({}) == 0);
    BOOST_TEST(availableAfterLateRefund({.refundAboveCap = true}) == 4000);
}

// Guards against accrual beside the portions, which would allow more than the burst at one moment.
BOOST_AUTO_TEST_CASE(outstandingPortionsStopAccrual)
{
    BOOST_TEST(spendableAtOnce({}) == 4000);
    BOOST_TEST(spendableAtOnce({.ignoreOutstanding = true}) > 5900);
}

// Guards against losing a refund that the bucket could have held all the time.
BOOST_AUTO_TEST_CASE(refundBelowCapIsCreditedInFull)
{
    ShareBucket bucket = makeBucket();
    bucket.grant(portion(1), 4000, kFull);
    bucket.refundTokens(portion(1), 0, kFull);
    bucket.refundTokens(portion(1), 1500, kFull + 1s);
    // One second accrues 1000 tokens less the 1% kept for a fast clock.
    BOOST_TEST(bucket.availableTokens(kFull + 1s) == 1500 + 990);
}

// Guards against a portion that blocks accrual for ever because its return was lost.
BOOST_AUTO_TEST_CASE(lostPortionCountsAsSpentAfterItsLifetime)
{
    ShareBucket bucket = makeBucket();
    bucket.grant(portion(1), 4000, kFull);
    BOOST_TEST(bucket.availableTokens(kFull + decisions::kPortionLifetimeWithDrift) == 0);
    BOOST_TEST(bucket.availableTokens(kFull + decisions::kPortionLifetimeWithDrift + 1s) == 990);
}

// Guards against high-water marks that differ from the bucket as it would have been if every
// reservation had been smaller from the start.
BOOST_AUTO_TEST_CASE(refundEqualsSmallerReservation)
{
    BOOST_TEST(rc::check([] {
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 900), rc::gen::inRange(0, 2500)));
        const int refund = *rc::gen::inRange(0, 2500);
        ShareBucket refunded = makeBucket();
        ShareBucket smaller = makeBucket();
        const std::int64_t first = refunded.grant(portion(0), 2500, kFull);
        refunded.refundTokens(portion(0), 0, kFull);
        smaller.grant(portion(0), first - refund, kFull);
        smaller.refundTokens(portion(0), 0, kFull);
        TimePoint now = kFull;
        std::uint64_t sequence = 1;
        for (const auto &[pause, wanted] : steps) {
            now += std::chrono::milliseconds(pause);
            const std::int64_t granted = refunded.grant(portion(sequence), wanted, now);
            refunded.refundTokens(portion(sequence), 0, now);
            RC_ASSERT(smaller.grant(portion(sequence), granted, now) == granted);
            smaller.refundTokens(portion(sequence), 0, now);
            ++sequence;
        }
        refunded.refundTokens(portion(0), refund, now);
        RC_ASSERT(refunded.availableTokens(now) == smaller.availableTokens(now));
    }));
}
