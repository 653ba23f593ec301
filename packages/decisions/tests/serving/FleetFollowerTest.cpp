#include <boost/test/unit_test.hpp>

#include <map>
#include <optional>

#include <rapidcheck.h>

#include "FleetStateSource.h"
#include "boragerack/core/SeededRandomSource.h"
#include "boragerack/decisions/serving/FleetFollower.h"

namespace boragerack::decisions::testing {

namespace {

/// A node that adopts updates as its routing task does, and may discard what it knows while a
/// report is in flight.
class FollowingNode
{
public:
    void report() { reported_ = follower_.known(); }

    void receive(const FleetState &copy, bool areTargetsAccepted)
    {
        if (!reported_)
            return;
        const FleetUpdate update = copy.updateSince(*reported_);
        reported_.reset();
        if (!follower_.fits(update))
            return;
        if (update.since.term == 0)
            placements_.clear();
        for (const TargetPlacement &placement : update.placements)
            placements_.insert_or_assign(placement.target, placement);
        if (update.members)
            members_ = *update.members;
        if (update.targets && areTargetsAccepted)
            targets_ = *update.targets;
        follower_.adopt(update, areTargetsAccepted);
    }

    void loseAnswer() { reported_.reset(); }

    void reset()
    {
        follower_.reset();
        members_.clear();
        targets_.clear();
        placements_.clear();
    }

    bool has(const FleetState &state) const
    {
        const FleetUpdate all = state.updateSince({});
        std::map<core::TargetId, TargetPlacement> placements;
        for (const TargetPlacement &placement : all.placements)
            placements.emplace(placement.target, placement);
        return members_ == all.members.value_or(std::vector<FleetMember>())
            && targets_ == all.targets.value_or(std::vector<TargetEntry>())
            && placements_ == placements;
    }

private:
    FleetFollower follower_;
    std::optional<FleetVersions> reported_;
    std::vector<FleetMember> members_;
    std::vector<TargetEntry> targets_;
    std::map<core::TargetId, TargetPlacement> placements_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(FleetFollowerTest)

// Guards against a node that lacks members, targets or placements for good, because it discarded
// them, or lost an answer or a list, while the sender took them for known.
BOOST_AUTO_TEST_CASE(nodesThatDiscardTheirStateGetItAgain)
{
    const bool passed = rc::check([](std::uint64_t seed) {
        core::SeededRandomSource random(seed);
        FleetStateSource source;
        FleetState copy;
        FollowingNode node;
        const auto update = [&] {
            RC_ASSERT(copy.apply(source.state.changesSince(copy.versions())));
        };
        for (int step = 0; step < 120; ++step) {
            switch (random.next() % 8) {
            case 0:
                node.reset();
                break;
            case 1:
                node.loseAnswer();
                break;
            case 2:
                if (random.next() % 4 == 0)
                    source.changeTerm();
                break;
            case 3:
            case 4:
                source.change(random);
                break;
            case 5:
                node.report();
                break;
            default:
                update();
                node.receive(copy, random.next() % 4 != 0);
            }
        }
        // The first answer may be to a report of before.
        for (int exchange = 0; exchange < 2; ++exchange) {
            node.report();
            update();
            node.receive(copy, true);
        }
        RC_ASSERT(node.has(source.state));
    });
    BOOST_TEST(passed);
}

// Guards against lists of an earlier term whose version numbers are taken for those of this term.
BOOST_AUTO_TEST_CASE(listOfAnEarlierTermIsNotKnown)
{
    FleetFollower follower;
    FleetUpdate update;
    update.versions = {.term = 1, .members = 1, .targets = 7};
    follower.adopt(update, true);
    BOOST_TEST(follower.known().targets == 7U);
    update.versions.term = 2;
    follower.adopt(update, false);
    BOOST_TEST(follower.known().term == 2U);
    BOOST_TEST(follower.known().targets == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
