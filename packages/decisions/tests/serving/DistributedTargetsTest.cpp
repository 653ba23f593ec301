#include <boost/test/unit_test.hpp>

#include "boragerack/decisions/serving/DistributedTargets.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint kNow(1h);

std::shared_ptr<const TargetEntries> entriesOf(const std::string &name)
{
    TargetEntry entry;
    entry.target.value = name;
    entry.replicas = {{{"m"}, 1, {}}};
    return std::make_shared<const TargetEntries>(TargetEntries {{entry.target, entry}});
}

} // namespace

BOOST_AUTO_TEST_SUITE(DistributedTargetsTest)

// Guards against requests to a target that left, because a coordinator distributes the list that it
// has read with the time of a later one, which its predecessor relayed to it.
BOOST_AUTO_TEST_CASE(timeOfARelayedListIsNotThatOfTheOwnOne)
{
    DistributedTargets targets;
    BOOST_TEST(!targets.age(kNow).has_value());
    BOOST_TEST(targets.update(entriesOf("a"), true, kNow));
    BOOST_TEST((targets.age(kNow + 1500us) == 2ms));
    BOOST_TEST(targets.update(entriesOf("b"), false, kNow + 1s));
    BOOST_TEST(!targets.age(kNow + 2s).has_value());
    BOOST_TEST(targets.entries() == nullptr);
}

// Guards against a list that grows by the replicas of all targets, and against one that is sent
// anew to all nodes although it has not changed.
BOOST_AUTO_TEST_CASE(ownListIsDistributedWithoutReplicas)
{
    DistributedTargets targets;
    const auto entries = entriesOf("a");
    targets.update(entries, true, kNow);
    BOOST_TEST(!targets.update(entries, true, kNow + 1s));
    BOOST_TEST((targets.age(kNow + 1s) == 0ms));
    const auto listed = targets.withoutReplicas();
    BOOST_REQUIRE(listed.size() == 1U);
    BOOST_TEST(listed.front().target.value == "a");
    BOOST_TEST(listed.front().replicas.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
