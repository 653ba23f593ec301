#include <boost/test/unit_test.hpp>

#include "boragerack/decisions/serving/PlatformReadPace.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;

double callsPerSecond(std::uint32_t nodes, std::chrono::milliseconds delay)
{
    return nodes * 1000.0 / static_cast<double>(delay.count());
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformReadPaceTest)

// Guards against an outage of the platform, or of the coordinator, in which the calls of all nodes
// together grow with the fleet until the platform rejects them.
BOOST_AUTO_TEST_CASE(callsOfAFleetAreBounded)
{
    for (const std::uint32_t nodes : {30U, 100U, 295U, 320U}) {
        const PlatformReadPace pace(nodes, false);
        BOOST_TEST(callsPerSecond(nodes, pace.afterFailures(10)) <= 81);
        BOOST_TEST(callsPerSecond(nodes, pace.afterFailures(1)) <= 301);
        BOOST_TEST(callsPerSecond(nodes, pace.afterSuccess()) <= 240);
    }
    BOOST_TEST(callsPerSecond(1000, PlatformReadPace(1000, false).afterFailures(1)) <= 250);
}

// Guards against a coordinator that notices the return of the platform late, and a node that would
// apply a change of the configuration after more than two seconds.
BOOST_AUTO_TEST_CASE(coordinatorDoesNotWaitForTheFleet)
{
    const PlatformReadPace pace(1000, true);
    BOOST_TEST((pace.startDelay() == 0ms));
    BOOST_TEST((pace.afterSuccess() == 0ms));
    BOOST_TEST((pace.afterFailures(20) <= 400ms));
    BOOST_TEST((PlatformReadPace(1000, false).afterSuccess() < 2s));
}

// Guards against a process that starts in a small fleet and serves nothing while it waits for a
// coordinator that has stopped as well.
BOOST_AUTO_TEST_CASE(smallFleetsReadAlmostAtOnce)
{
    BOOST_TEST((PlatformReadPace(7, false).startDelay() < 50ms));
    BOOST_TEST((PlatformReadPace(1000, false).startDelay() <= 1s));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
