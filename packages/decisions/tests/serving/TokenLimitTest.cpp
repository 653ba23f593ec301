#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

#include "boragerack/core/SeededRandomSource.h"
#include "boragerack/decisions/serving/FleetTokenLimiter.h"
#include "boragerack/decisions/serving/NodeTokenLimiter.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;

const core::OrganisationId kOrganisation {"yard"};
constexpr RateLimit kLimit {30'000, 60'000};
constexpr std::int64_t kTolerance = 110'000;

/// Tokens that all nodes spent within a time.
std::int64_t spend(std::uint64_t seed, std::chrono::seconds time, int coordinatorChanges)
{
    core::SeededRandomSource random(seed);
    const NodeTokenLimiter::Limits limits {{kOrganisation, kLimit}};
    std::vector<NodeTokenLimiter> wallets(6);
    for (NodeTokenLimiter &wallet : wallets)
        wallet.setLimits(limits);
    core::TimePoint now(1h);
    FleetTokenLimiter allotment(kTolerance);
    allotment.setLimits(limits, now);
    std::int64_t spent = 0;
    const core::TimePoint end = now + time;
    int changes = coordinatorChanges;
    for (; now < end; now += 10ms) {
        if (changes > 0 && random.next() % 200 == 0) {
            --changes;
            allotment = FleetTokenLimiter(kTolerance);
            allotment.setLimits(limits, now);
        }
        for (NodeTokenLimiter &wallet : wallets) {
            const auto tokens = static_cast<std::int64_t>(200 + random.next() % 2000);
            wallet.countDemand(kOrganisation, tokens, now);
            if (wallet.take(kOrganisation, tokens))
                spent += tokens;
            for (const TokenRequest &ask : wallet.wanted(now))
                wallet.credit(allotment.grant(ask, now));
        }
    }
    return spent;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TokenLimitTest)

// Guards against a fleet of which a part is cut off from the coordinator and spends its own part of
// the rate while the coordinator grants the whole rate to the others.
BOOST_AUTO_TEST_CASE(cutNodesAndTheRestKeepToTheLimit)
{
    constexpr std::uint32_t kNodes = 8;
    constexpr std::uint32_t kCut = 4;
    constexpr int kSeconds = 8;
    const NodeTokenLimiter::Limits limits {{kOrganisation, kLimit}};
    std::vector<NodeTokenLimiter> wallets(kNodes);
    for (NodeTokenLimiter &wallet : wallets)
        wallet.setLimits(limits);
    core::TimePoint now(1h);
    FleetTokenLimiter allotment(kTolerance);
    allotment.setLimits(limits, now);
    allotment.setRateFraction(static_cast<double>(kNodes - kCut) / kNodes, now);
    std::int64_t spent = 0;
    for (const core::TimePoint end = now + std::chrono::seconds(kSeconds); now < end; now += 10ms) {
        for (std::uint32_t i = 0; i < kNodes; ++i) {
            NodeTokenLimiter &wallet = wallets[i];
            wallet.countDemand(kOrganisation, 1000, now);
            if (wallet.take(kOrganisation, 1000))
                spent += 1000;
            if (i < kCut) {
                wallet.accrue(now, kNodes);
                continue;
            }
            for (const TokenRequest &ask : wallet.wanted(now))
                wallet.credit(allotment.grant(ask, now));
        }
    }
    BOOST_TEST(spent <= kLimit.tokensPerSecond * kSeconds + kLimit.burstTokens + kTolerance / 2);
}

// Guards against nodes that together spend more than the organisation's rate, burst and tolerance
// while the coordinator changes twice.
BOOST_AUTO_TEST_CASE(fleetKeepsToTheLimit)
{
    const bool isKept = rc::check([](std::uint64_t seed) {
        constexpr int kSeconds = 8;
        const std::int64_t spent = spend(seed, std::chrono::seconds(kSeconds), 2);
        RC_ASSERT(spent <= kLimit.tokensPerSecond * kSeconds + kLimit.burstTokens + kTolerance);
    });
    BOOST_TEST(isKept);
}

// Guards against tokens that nodes hoard: demand above the limit must get most of the rate.
BOOST_AUTO_TEST_CASE(limitIsUsed)
{
    constexpr int kSeconds = 20;
    BOOST_TEST(spend(3, std::chrono::seconds(kSeconds), 0)
               > kLimit.tokensPerSecond * kSeconds * 9 / 10);
}

// Guards against nodes that stop serving when the coordinator is away.
BOOST_AUTO_TEST_CASE(walletAccruesAlone)
{
    NodeTokenLimiter wallet;
    wallet.setLimits({{kOrganisation, kLimit}});
    const core::TimePoint now(1h);
    wallet.accrue(now, 6);
    BOOST_TEST(!wallet.take(kOrganisation, 1000));
    wallet.accrue(now + 1s, 6);
    BOOST_TEST(wallet.take(kOrganisation, kLimit.tokensPerSecond / 6));
    BOOST_TEST(!wallet.take(kOrganisation, 1000));
}

// Guards against a limit for organisations that have none.
BOOST_AUTO_TEST_CASE(zeroRateMeansNoLimit)
{
    NodeTokenLimiter wallet;
    wallet.setLimits({{kOrganisation, {0, 0}}});
    BOOST_TEST(wallet.take(kOrganisation, 1'000'000));
    BOOST_TEST(wallet.take({"unknown"}, 1'000'000));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
