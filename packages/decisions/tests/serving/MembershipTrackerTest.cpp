#include <boost/test/unit_test.hpp>

#include "boragerack/decisions/serving/FleetSize.h"
#include "boragerack/decisions/serving/MembershipTracker.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;

FleetMember memberOf(const std::string &name)
{
    return {{name}, name + ":1", {"x"}, name + ":2"};
}

} // namespace

BOOST_AUTO_TEST_SUITE(MembershipTrackerTest)

// Guards against a new coordinator that lists only the few nodes that have already reported to it,
// and against one that keeps nodes that never report.
BOOST_AUTO_TEST_CASE(seededNodesAreMembersUntilTimeout)
{
    for (const std::size_t count : {3U, 76U}) {
        core::TimePoint now = core::TimePoint(1h);
        std::vector<FleetMember> known;
        for (std::size_t i = 0; i < count; ++i)
            known.push_back(memberOf("n" + std::to_string(i)));
        MembershipTracker tracker;
        tracker.seed(known, now);
        BOOST_TEST(tracker.members().size() == count);
        now += isLargeFleet(count) ? 2s : 500ms;
        BOOST_TEST(tracker.expire(now).empty());
        for (std::size_t i = 1; i < count; ++i)
            tracker.report(known[i], false, now);
        now += 600ms;
        BOOST_TEST(tracker.expire(now).size() == 1U);
        BOOST_TEST(tracker.members().size() == count - 1);
    }
}

// Guards against partitioned nodes that continue to spend their share of the limits while the rest
// of the fleet spends it, too, and against shares that are lost for ever with removed nodes.
BOOST_AUTO_TEST_CASE(missingNodesReduceLiveShareTemporarily)
{
    core::TimePoint now = core::TimePoint(1h);
    MembershipTracker tracker;
    for (const char *name : {"a", "b", "c", "d"})
        tracker.report(memberOf(name), false, now);
    BOOST_TEST(tracker.liveShare(now) == 1);
    now += 1s;
    tracker.report(memberOf("a"), false, now);
    tracker.report(memberOf("b"), false, now);
    tracker.report(memberOf("c"), true, now);
    now += 1s;
    tracker.report(memberOf("a"), false, now);
    tracker.report(memberOf("b"), false, now);
    tracker.expire(now);
    BOOST_TEST(tracker.liveShare(now) == 0.75);
    now += 1s;
    tracker.report(memberOf("a"), false, now);
    tracker.report(memberOf("b"), false, now);
    // A node that announced its stop no longer spends tokens.
    tracker.expire(now);
    BOOST_TEST(tracker.liveShare(now) == 2.0 / 3);
    tracker.report(memberOf("d"), false, now);
    BOOST_TEST(tracker.liveShare(now) == 1);
    for (int i = 0; i < 20; ++i) {
        now += 1s;
        tracker.report(memberOf("a"), false, now);
        tracker.report(memberOf("b"), false, now);
        tracker.expire(now);
    }
    BOOST_TEST(tracker.liveShare(now) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
