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
constexpr core::TimePoint kNow(1h);

/// Simulates nodes with a coordinator that is replaced up to `coordinatorChanges` times, and
/// returns the tokens that all nodes spent within the time.
std::int64_t spend(std::uint64_t seed, std::chrono::seconds time, int coordinatorChanges)
{
    core::SeededRandomSource random(seed);
    const NodeTokenLimiter::Limits limits {{kOrganisation, kLimit}};
    std::vector<NodeTokenLimiter> nodeLimiters(6);
    for (NodeTokenLimiter &nodeLimiter : nodeLimiters)
        nodeLimiter.setLimits(limits);
    core::TimePoint now(1h);
    FleetTokenLimiter fleetLimiter(kTolerance);
    fleetLimiter.setLimits(limits, now);
    std::int64_t spent = 0;
    std::uint64_t number = 0;
    const core::TimePoint end = now + time;
    int changes = coordinatorChanges;
    for (; now < end; now += 10ms) {
        if (changes > 0 && random.next() % 200 == 0) {
            --changes;
            fleetLimiter = FleetTokenLimiter(kTolerance);
            fleetLimiter.setLimits(limits, now);
        }
        for (NodeTokenLimiter &nodeLimiter : nodeLimiters) {
            const auto tokens = static_cast<std::int64_t>(200 + random.next() % 2000);
            nodeLimiter.countDemand(kOrganisation, tokens, now);
            if (nodeLimiter.take(++number, kOrganisation, tokens))
                spent += tokens;
            for (const TokenRequest &request : nodeLimiter.wanted(now))
                nodeLimiter.credit(fleetLimiter.grant(request, now));
        }
    }
    return spent;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TokenLimitTest)

// Guards against a fleet that exceeds the limit because nodes partitioned from the coordinator
// spend their share of the rate while the coordinator grants the whole rate to the others.
BOOST_AUTO_TEST_CASE(cutNodesAndTheRestKeepToTheLimit)
{
    constexpr std::uint32_t kNodes = 8;
    constexpr std::uint32_t kPartitionedNodes = 4;
    constexpr int kSeconds = 8;
    const NodeTokenLimiter::Limits limits {{kOrganisation, kLimit}};
    std::vector<NodeTokenLimiter> nodeLimiters(kNodes);
    for (NodeTokenLimiter &nodeLimiter : nodeLimiters)
        nodeLimiter.setLimits(limits);
    core::TimePoint now(1h);
    FleetTokenLimiter fleetLimiter(kTolerance);
    fleetLimiter.setLimits(limits, now);
    fleetLimiter.setRateFraction(static_cast<double>(kNodes - kPartitionedNodes) / kNodes, now);
    std::int64_t spent = 0;
    std::uint64_t number = 0;
    for (const core::TimePoint end = now + std::chrono::seconds(kSeconds); now < end; now += 10ms) {
        for (std::uint32_t i = 0; i < kNodes; ++i) {
            NodeTokenLimiter &nodeLimiter = nodeLimiters[i];
            nodeLimiter.countDemand(kOrganisation, 1000, now);
            if (nodeLimiter.take(++number, kOrganisation, 1000))
                spent += 1000;
            if (i < kPartitionedNodes) {
                nodeLimiter.accrue(now, kNodes);
                continue;
            }
            for (const TokenRequest &request : nodeLimiter.wanted(now))
                nodeLimiter.credit(fleetLimiter.grant(request, now));
        }
    }
    BOOST_TEST(spent <= kLimit.tokensPerSecond * kSeconds + kLimit.burstTokens + kTolerance / 2);
}

// Guards against nodes that together spend more than the organisation's rate, burst and tolerance
// while the coordinator changes twice.
BOOST_AUTO_TEST_CASE(fleetKeepsToTheLimit)
{
    const bool passed = rc::check([](std::uint64_t seed) {
        constexpr int kSeconds = 8;
        const std::int64_t spent = spend(seed, std::chrono::seconds(kSeconds), 2);
        RC_ASSERT(spent <= kLimit.tokensPerSecond * kSeconds + kLimit.burstTokens + kTolerance);
    });
    BOOST_TEST(passed);
}

// Guards against tokens that stay unused on nodes: demand above the limit must get most of the
// rate.
BOOST_AUTO_TEST_CASE(demandAboveLimitGetsMostOfTheRate)
{
    constexpr int kSeconds = 20;
    BOOST_TEST(spend(3, std::chrono::seconds(kSeconds), 0)
               > kLimit.tokensPerSecond * kSeconds * 9 / 10);
}

// Guards against nodes that stop serving while the coordinator is unreachable.
BOOST_AUTO_TEST_CASE(nodeAccruesWithoutCoordinator)
{
    NodeTokenLimiter nodeLimiter;
    nodeLimiter.setLimits({{kOrganisation, kLimit}});
    const core::TimePoint now(1h);
    nodeLimiter.accrue(now, 6);
    BOOST_TEST(!nodeLimiter.take(1, kOrganisation, 1000));
    nodeLimiter.accrue(now + 1s, 6);
    BOOST_TEST(nodeLimiter.take(2, kOrganisation, kLimit.tokensPerSecond / 6));
    BOOST_TEST(!nodeLimiter.take(3, kOrganisation, 1000));
}

// Guards against tokens that are returned twice, or for a request that has run.
BOOST_AUTO_TEST_CASE(spentTokensAreReturnedOnceIfTheRequestDidNotRun)
{
    NodeTokenLimiter nodeLimiter;
    nodeLimiter.setLimits({{kOrganisation, kLimit}});
    nodeLimiter.credit({kOrganisation, 3000});
    for (const std::uint64_t request : {1, 2, 3})
        BOOST_TEST(nodeLimiter.take(request, kOrganisation, 1000));
    BOOST_TEST(nodeLimiter.end(1, true, kNow).tokens == 0);
    BOOST_TEST(nodeLimiter.end(1, false, kNow).tokens == 0);
    BOOST_TEST(nodeLimiter.end(2, false, kNow).tokens == 1000);
    BOOST_TEST(nodeLimiter.end(2, false, kNow).tokens == 0);
    BOOST_TEST(nodeLimiter.take(4, kOrganisation, 1000));
    BOOST_TEST(!nodeLimiter.take(5, kOrganisation, 1));
}

// Guards against tokens that are returned although the request took none: it waited for them, its
// organisation had no limit then, or it is not known.
BOOST_AUTO_TEST_CASE(tokensThatWereNotSpentAreNotReturned)
{
    const core::OrganisationId unlimited {"unlimited"};
    const core::OrganisationId removed {"removed"};
    NodeTokenLimiter nodeLimiter;
    nodeLimiter.setLimits({{kOrganisation, kLimit}, {unlimited, {0, 0}}, {removed, kLimit}});
    nodeLimiter.credit({removed, 1000});
    BOOST_TEST(!nodeLimiter.take(1, kOrganisation, 1000));
    BOOST_TEST(nodeLimiter.take(2, unlimited, 1000));
    BOOST_TEST(nodeLimiter.take(3, removed, 1000));
    nodeLimiter.setLimits({{kOrganisation, kLimit}, {unlimited, kLimit}});
    nodeLimiter.setLimits({{kOrganisation, kLimit}, {unlimited, kLimit}, {removed, kLimit}});
    for (const std::uint64_t request : {1, 2, 3, 4})
        BOOST_TEST(nodeLimiter.end(request, false, kNow).tokens == 0);
    for (const core::OrganisationId &organisation : {kOrganisation, unlimited, removed})
        BOOST_TEST(!nodeLimiter.take(5, organisation, 1));
}

// Guards against requests that hold tokens for seconds without running: returned at once, these
// tokens add to a burst that the bucket has accrued again meanwhile.
BOOST_AUTO_TEST_CASE(tokensReturnedLateDoNotAddToTheBurst)
{
    constexpr std::size_t kNodes = 6;
    constexpr int kSeconds = 8;
    const NodeTokenLimiter::Limits limits {{kOrganisation, kLimit}};
    std::vector<NodeTokenLimiter> nodeLimiters(kNodes);
    for (NodeTokenLimiter &nodeLimiter : nodeLimiters)
        nodeLimiter.setLimits(limits);
    core::TimePoint now(1h);
    FleetTokenLimiter fleetLimiter(kTolerance);
    fleetLimiter.setLimits(limits, now);
    std::uint64_t number = 0;
    const auto request = [&](std::size_t node, std::int64_t tokens) {
        NodeTokenLimiter &nodeLimiter = nodeLimiters[node];
        nodeLimiter.countDemand(kOrganisation, tokens, now);
        const bool isTaken = nodeLimiter.take(++number, kOrganisation, tokens);
        for (const TokenRequest &wanted : nodeLimiter.wanted(now))
            nodeLimiter.credit(fleetLimiter.grant(wanted, now));
        return isTaken;
    };
    // The bucket fills up.
    for (const core::TimePoint end = now + 10s; now < end; now += 10ms)
        static_cast<void>(fleetLimiter.grant({kOrganisation, 0, 0}, now));
    // Nine tenths of the rate are taken by requests that wait for a target.
    std::vector<std::pair<std::size_t, std::uint64_t>> held;
    for (const core::TimePoint end = now + 5s; now < end; now += 20ms) {
        const std::size_t node = number % kNodes;
        if (request(node, 540))
            held.emplace_back(node, number);
    }
    for (const auto &[node, ended] : held)
        nodeLimiters[node].end(ended, false, now);
    std::int64_t spent = 0;
    for (const core::TimePoint end = now + std::chrono::seconds(kSeconds); now < end; now += 10ms) {
        for (std::size_t node = 0; node < kNodes; ++node)
            spent += request(node, 1000) ? 1000 : 0;
    }
    BOOST_TEST(spent <= kLimit.tokensPerSecond * kSeconds + kLimit.burstTokens + kTolerance);
}

// Guards against tokens of many requests that a node accumulates when they end without running.
BOOST_AUTO_TEST_CASE(returnedTokensStayWithinTheReserve)
{
    constexpr std::int64_t kReserve = kLimit.burstTokens / 8;
    constexpr std::int64_t kTokens = 1000;
    NodeTokenLimiter nodeLimiter;
    nodeLimiter.setLimits({{kOrganisation, kLimit}});
    nodeLimiter.credit({kOrganisation, kLimit.burstTokens});
    std::int64_t returned = 0;
    for (std::uint64_t request = 1; request <= 60; ++request) {
        nodeLimiter.countDemand(kOrganisation, kTokens, kNow);
        BOOST_TEST(nodeLimiter.take(request, kOrganisation, kTokens));
    }
    for (std::uint64_t request = 1; request <= 60; ++request)
        returned += nodeLimiter.end(request, false, kNow).tokens;
    BOOST_TEST(returned == kReserve);
    // One request is returned whole, however long it has held its tokens.
    BOOST_TEST(nodeLimiter.take(61, kOrganisation, kReserve));
    nodeLimiter.credit({kOrganisation, 2 * kReserve});
    BOOST_TEST(nodeLimiter.take(62, kOrganisation, 2 * kReserve));
    BOOST_TEST(nodeLimiter.end(62, false, kNow + 1h).tokens == 2 * kReserve);
}

// Guards against limiting organisations that have no limit.
BOOST_AUTO_TEST_CASE(zeroRateMeansNoLimit)
{
    NodeTokenLimiter nodeLimiter;
    nodeLimiter.setLimits({{kOrganisation, {0, 0}}});
    BOOST_TEST(nodeLimiter.take(1, kOrganisation, 1'000'000));
    BOOST_TEST(nodeLimiter.take(2, {"unknown"}, 1'000'000));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
