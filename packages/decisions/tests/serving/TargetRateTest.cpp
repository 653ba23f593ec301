#include <boost/test/unit_test.hpp>

#include <rapidcheck/boost_test.h>

#include <deque>
#include <vector>

#include "boragerack/decisions/TargetRateLimiter.h"
#include "boragerack/decisions/serving/TargetPermitIssuer.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint kStart(1h);
const TargetProcess kTarget {{"a"}, 1};

/// Nodes that report to a coordinator in turn, with requests for one target with a limited rate.
struct RateSimulation
{
    RateSimulation(std::size_t nodeCount, double rate)
        : nodes(nodeCount)
        , requestsPerSecond(rate)
    {
        for (TargetRateLimiter &node : nodes)
            node.record(kTarget, rate, now);
    }

    void report(TargetRateLimiter &node)
    {
        for (const RateObservation &observation : node.takeObservations(now))
            issuer.record(observation, now);
        const std::uint32_t wanted = node.hasPermit(kTarget, now) ? 0 : 1;
        const PermitGrant grant = issuer.grant({kTarget.target, wanted, wanted}, now);
        node.stopAccruing();
        node.handleAccepted();
        node.credit(grant, now);
        node.adopt(issuer.rates(), now);
    }

    void send(TargetRateLimiter &node)
    {
        if (node.take(kTarget, now))
            sent.push_back(now);
    }

    void step()
    {
        constexpr std::chrono::milliseconds kReportTime = 100ms;
        const auto count = static_cast<std::uint32_t>(nodes.size());
        for (std::uint32_t rank = 0; rank < count; ++rank) {
            now += core::Duration(kReportTime) / count;
            if (hasCoordinator)
                report(nodes[rank]);
            else
                nodes[rank].accrue(now, rank, count);
            send(nodes[rank]);
        }
    }

    void changeCoordinator()
    {
        issuer = {};
        hasCoordinator = true;
        for (TargetRateLimiter &node : nodes)
            node.handleSuccessor();
    }

    std::size_t largestCount(std::chrono::milliseconds window) const
    {
        std::size_t largest = 0;
        for (std::size_t first = 0; first < sent.size(); ++first) {
            std::size_t last = first;
            while (last < sent.size() && sent[last] < sent[first] + window)
                ++last;
            largest = std::max(largest, last - first);
        }
        return largest;
    }

    core::TimePoint now = kStart;
    std::vector<TargetRateLimiter> nodes;
    double requestsPerSecond;
    TargetPermitIssuer issuer;
    bool hasCoordinator = true;
    std::vector<core::TimePoint> sent;
};

} // namespace

BOOST_AUTO_TEST_SUITE(TargetRateTest)

// Guards against more requests of all nodes together than a target accepts, also while the
// coordinator changes or none is present, and against permits that the nodes do not use.
RC_BOOST_PROP(nodesTogetherStayWithinTheRate, ())
{
    constexpr std::chrono::milliseconds kWindow = 4s;
    const auto nodeCount = *rc::gen::inRange<std::size_t>(1, 40);
    const double rate = *rc::gen::inRange(1, 100) / 10.0;
    RateSimulation simulation(nodeCount, rate);
    const auto phases = *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(0, 3));
    for (const int phase : phases) {
        if (phase == 0)
            simulation.changeCoordinator();
        else if (phase == 1)
            simulation.hasCoordinator = false;
        for (int i = 0; i < 30; ++i)
            simulation.step();
    }
    RC_ASSERT(static_cast<double>(simulation.largestCount(kWindow)) <= rate * 4 * 1.5 + 5);
    simulation.changeCoordinator();
    simulation.sent.clear();
    for (int i = 0; i < 100; ++i)
        simulation.step();
    RC_ASSERT(static_cast<double>(simulation.sent.size()) >= rate * 10 * 0.8 - 2);
}

// Guards against a rate that nodes discard when another coordinator, which does not know it, is
// followed.
BOOST_AUTO_TEST_CASE(nextCoordinatorLearnsTheRatesFromTheNodes)
{
    RateSimulation simulation(2, 3);
    simulation.step();
    simulation.changeCoordinator();
    BOOST_TEST(simulation.nodes[0].rateOf(kTarget).value_or(0) == 3);
    simulation.step();
    BOOST_TEST(simulation.nodes[0].rateOf(kTarget).value_or(0) == 3);
    BOOST_TEST(simulation.issuer.rates().size() == 1U);
}

// Guards against a limit that stays after the target has ended it, and against one that an older
// response of another node brings back.
BOOST_AUTO_TEST_CASE(mostRecentResponseDecidesTheRate)
{
    TargetPermitIssuer issuer;
    issuer.record({kTarget, 3.0, 100ms}, kStart);
    issuer.record({kTarget, std::nullopt, 50ms}, kStart);
    BOOST_TEST(issuer.rates().empty());
    issuer.record({kTarget, 3.0, 80ms}, kStart);
    BOOST_TEST(issuer.rates().empty());

    TargetRateLimiter node;
    node.adopt({{kTarget.target, kTarget.startedAt, 3}}, kStart);
    BOOST_TEST(node.rateOf(kTarget).has_value());
    node.record(kTarget, std::nullopt, kStart);
    BOOST_TEST(!node.rateOf(kTarget).has_value());
    BOOST_TEST(node.takeObservations(kStart).size() == 1U);
    node.handleAccepted();
    node.adopt({}, kStart);
    BOOST_TEST(!node.rateOf(kTarget).has_value());
}

// Guards against an observation that is lost with the report that contained it.
BOOST_AUTO_TEST_CASE(observationIsReportedUntilAReportIsAnswered)
{
    TargetRateLimiter node;
    node.record(kTarget, 2, kStart);
    BOOST_TEST(node.takeObservations(kStart).size() == 1U);
    BOOST_TEST(node.takeObservations(kStart).size() == 1U);
    node.handleAccepted();
    BOOST_TEST(node.takeObservations(kStart).empty());
}

// Guards against permits that add up while they are not used.
BOOST_AUTO_TEST_CASE(unusedPermitsExpire)
{
    TargetRateLimiter node;
    node.record(kTarget, 2, kStart);
    node.credit({kTarget.target, 2}, kStart);
    const auto permit = node.take(kTarget, kStart);
    BOOST_REQUIRE(permit.has_value());
    node.giveBack(*permit, kStart + 10ms);
    BOOST_TEST(node.hasPermit(kTarget, kStart + 20ms));
    BOOST_TEST(!node.hasPermit(kTarget, kStart + kPermitLifetime));
    BOOST_TEST(!node.take(kTarget, kStart + kPermitLifetime).has_value());
}

// Guards against permits that accrue for the time since a call that was long ago.
BOOST_AUTO_TEST_CASE(permitsDoNotAddUpBetweenTwoCalls)
{
    TargetRateLimiter node;
    node.record(kTarget, 3, kStart);
    node.accrue(kStart, 0, 1);
    node.accrue(kStart + 60s, 0, 1);
    int permits = 0;
    while (node.take(kTarget, kStart + 60s))
        ++permits;
    BOOST_TEST(permits == 3);
}

// Guards against a target that is never asked again because it accepted no requests.
BOOST_AUTO_TEST_CASE(targetWithARateOfZeroIsAskedAgain)
{
    TargetRateLimiter node;
    node.record(kTarget, 0, kStart);
    node.accrue(kStart, 0, 1);
    node.accrue(kStart + 10s, 0, 1);
    BOOST_TEST(node.take(kTarget, kStart + 10s).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
