#include <boost/test/unit_test.hpp>

#include "boragerack/decisions/serving/MemberRoll.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;

FleetMember memberOf(const std::string &name)
{
    return {{name}, name + ":1", {"x"}, name + ":2"};
}

} // namespace

BOOST_AUTO_TEST_SUITE(MemberRollTest)

// Guards against a new coordinator that tells callers of the few nodes only that have reported to
// it so far, and against one that keeps nodes that never report.
BOOST_AUTO_TEST_CASE(newTermBeginsWithTheKnownNodes)
{
    core::TimePoint now = core::TimePoint(1h);
    MemberRoll roll;
    roll.seed({memberOf("a"), memberOf("b"), memberOf("c")}, now);
    BOOST_TEST(roll.members().size() == 3U);
    now += 2s;
    BOOST_TEST(roll.expire(now).empty());
    roll.report(memberOf("a"), false, now);
    roll.report(memberOf("b"), false, now);
    now += 600ms;
    BOOST_TEST(roll.expire(now).size() == 1U);
    BOOST_TEST(roll.members().size() == 2U);
}

// Guards against nodes that are cut off and go on spending their part of the limits while the rest
// of the fleet spends it, too; and against parts that are lost for ever with nodes that are gone.
BOOST_AUTO_TEST_CASE(missingNodesKeepTheirPartForAWhile)
{
    core::TimePoint now = core::TimePoint(1h);
    MemberRoll roll;
    roll.seed({memberOf("a"), memberOf("b"), memberOf("c"), memberOf("d")}, now);
    BOOST_TEST(roll.liveShare(now) == 1);
    now += 2s;
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
