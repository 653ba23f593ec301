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

// Guards against a new coordinator that tells callers of the few nodes only that have reported to
// it so far, and against one that keeps nodes that never report.
BOOST_AUTO_TEST_CASE(newTermBeginsWithTheKnownNodes)
{
    for (const std::size_t count : {3U, 76U}) {
        core::TimePoint now = core::TimePoint(1h);
        std::vector<FleetMember> known;
        for (std::size_t i = 0; i < count; ++i)
            known.push_back(memberOf("n" + std::to_string(i)));
        MembershipTracker roll;
        roll.seed(known, now);
        BOOST_TEST(roll.members().size() == count);
        now += isLargeFleet(count) ? 2s : 500ms;
        BOOST_TEST(roll.expire(now).empty());
        for (std::size_t i = 1; i < count; ++i)
            roll.report(known[i], false, now);
        now += 600ms;
        BOOST_TEST(roll.expire(now).size() == 1U);
        BOOST_TEST(roll.members().size() == count - 1);
    }
}

// Guards against nodes that are cut off and go on spending their part of the limits while the rest
// of the fleet spends it, too; and against parts that are lost for ever with nodes that are gone.
BOOST_AUTO_TEST_CASE(missingNodesKeepTheirPartForAWhile)
{
    core::TimePoint now = core::TimePoint(1h);
    MembershipTracker roll;
    for (const char *name : {"a", "b", "c", "d"})
        roll.report(memberOf(name), false, now);
    BOOST_TEST(roll.liveShare(now) == 1);
    now += 1s;
    roll.report(memberOf("a"), false, now);
    roll.report(memberOf("b"), false, now);
    roll.report(memberOf("c"), true, now);
    now += 1s;
    roll.report(memberOf("a"), false, now);
    roll.report(memberOf("b"), false, now);
    roll.expire(now);
    BOOST_TEST(roll.liveShare(now) == 0.75);
    now += 1s;
    roll.report(memberOf("a"), false, now);
    roll.report(memberOf("b"), false, now);
    // A node that said that it stops spends nothing any more.
    roll.expire(now);
    BOOST_TEST(roll.liveShare(now) == 2.0 / 3);
    roll.report(memberOf("d"), false, now);
    BOOST_TEST(roll.liveShare(now) == 1);
    for (int i = 0; i < 20; ++i) {
        now += 1s;
        roll.report(memberOf("a"), false, now);
        roll.report(memberOf("b"), false, now);
        roll.expire(now);
    }
    BOOST_TEST(roll.liveShare(now) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
