#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

#include "FleetStateSource.h"
#include "boragerack/core/SeededRandomSource.h"
#include "boragerack/decisions/serving/FleetState.h"

namespace boragerack::decisions::testing {

namespace {

bool isSameContent(const FleetState &left, const FleetState &right)
{
    return left.updateSince({}) == right.updateSince({});
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetStateTest)

// Guards against a node that keeps a removed member or target, or misses a change, because its
// relay has followed the coordinator through other versions than the node.
BOOST_AUTO_TEST_CASE(copiesThroughChangingRelaysConverge)
{
    const bool passed = rc::check([](std::uint64_t seed) {
        core::SeededRandomSource random(seed);
        FleetStateSource source;
        std::vector<FleetState> relays(3);
        FleetState node;
        for (int step = 0; step < 120; ++step) {
            if (random.next() % 20 == 0)
                source.changeTerm();
            source.change(random);
            FleetState &relay = relays[random.next() % relays.size()];
            if (random.next() % 3 != 0)
                relay.apply(source.state.changesSince(relay.versions()));
            if (random.next() % 3 != 0)
                node.apply(relay.changesSince(node.versions()));
        }
        FleetState &relay = relays.front();
        relay.apply(source.state.changesSince(relay.versions()));
        node.apply(relay.changesSince(node.versions()));
        RC_ASSERT(isSameContent(node, source.state));
    });
    BOOST_TEST(passed);
}

// Guards against answers whose size grows with the fleet although only one entry changed.
BOOST_AUTO_TEST_CASE(changesContainOnlyWhatChanged)
{
    FleetState source(7);
    std::vector<FleetMember> members;
    for (std::uint64_t i = 0; i < 1000; ++i)
        members.push_back(memberOf(i));
    source.setMembers(members);
    FleetState copy;
    copy.apply(source.changesSince({}));
    BOOST_TEST(source.changesSince(copy.versions()).members.changed.empty());
    members.erase(members.begin() + 10);
    members.push_back(memberOf(2000));
    source.setMembers(members);
    const FleetChange change = source.changesSince(copy.versions());
    BOOST_TEST(!change.members.isComplete);
    BOOST_TEST(change.members.changed.size() == 1U);
    BOOST_TEST(change.members.removed.size() == 1U);
    copy.apply(change);
    BOOST_TEST(isSameContent(copy, source));
}

// Guards against loads that are attributed to the wrong targets, because the sender's list of
// targets differs from the receiver's.
BOOST_AUTO_TEST_CASE(loadsOfAnotherTargetListAreIgnored)
{
    FleetState source(1);
    source.setTargets({targetOf(1), targetOf(2)});
    source.setLoads({{targetOf(2).target, 5}});
    FleetState copy;
    copy.apply(source.changesSince({}));
    copy.apply(*source.loads());
    const std::vector<TargetLoad> expected {{targetOf(2).target, 5}};
    BOOST_TEST((copy.updateSince({}).loads == expected));
    source.setTargets({targetOf(2), targetOf(3)});
    source.setLoads({{targetOf(3).target, 9}});
    copy.apply(*source.loads());
    BOOST_TEST((copy.updateSince({}).loads == expected));
}

// Guards against a relay that has not followed the new coordinator and takes its children back to
// the state of the previous one.
BOOST_AUTO_TEST_CASE(stateOfAnEarlierTermIsIgnored)
{
    FleetState former(3);
    former.setMembers({memberOf(1)});
    FleetState successor(5);
    successor.setMembers({memberOf(2)});
    FleetState copy;
    copy.apply(successor.changesSince({}));
    copy.apply(former.changesSince(copy.versions()));
    BOOST_TEST(isSameContent(copy, successor));
}

// Guards against a copy that misses changes for good, because a difference was applied to an
// earlier version than the one that it builds on.
BOOST_AUTO_TEST_CASE(changeThatSkipsVersionsIsIgnored)
{
    FleetState source(1);
    source.setMembers({memberOf(1)});
    FleetState copy;
    BOOST_TEST(copy.apply(source.changesSince({})));
    source.setMembers({memberOf(1), memberOf(2)});
    const FleetVersions skipped = source.versions();
    source.setMembers({memberOf(1), memberOf(2), memberOf(3)});
    BOOST_TEST(!copy.apply(source.changesSince(skipped)));
    BOOST_TEST(copy.memberCount() == 1U);
    BOOST_TEST(!FleetState().apply(source.changesSince(skipped)));
    BOOST_TEST(copy.apply(source.changesSince(copy.versions())));
    BOOST_TEST(isSameContent(copy, source));
}

// Guards against nodes that use a target again, which they removed, because the coordinator keeps
// it after failed calls of its own.
BOOST_AUTO_TEST_CASE(unconfirmedTargetsAreNotDistributed)
{
    FleetState state {1};
    TargetEntry kept = targetOf(1);
    kept.isUnconfirmed = true;
    state.setTargets({kept, targetOf(2)});
    const auto update = state.updateSince({});
    BOOST_REQUIRE(update.targets.has_value());
    BOOST_REQUIRE(update.targets->size() == 1U);
    BOOST_TEST((update.targets->front() == targetOf(2)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
