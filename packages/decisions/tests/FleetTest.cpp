#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

#include "FleetSimulation.h"

using namespace std::chrono_literals;
using namespace boragerack::decisions;
using boragerack::decisions::tests::FleetSimulation;
using boragerack::decisions::tests::NetworkFaults;
using boragerack::decisions::tests::wordsOf;

namespace {

const std::vector<std::string> kParts = {"plans/a", "plans/b", "entitlements/main"};

/// Applies random edits and random faults of nodes, network and platform. Returns the words that
/// were added and not removed.
std::set<std::string> runRandomFaults(FleetSimulation &fleet, int steps)
{
    fleet.run(5s); // Lets every node write its record.
    std::set<std::string> expected = {"first"};
    fleet.edit(kParts[0], "first", true);
    for (int step = 0; step < steps; ++step) {
        const std::size_t node = fleet.random(fleet.size());
        const std::string &part = kParts[fleet.random(kParts.size())];
        switch (fleet.random(10)) {
        case 0:
        case 1:
        case 2: {
            const std::string word = "key" + std::to_string(step) + "@" + part;
            expected.insert(word);
            fleet.edit(part, word, true);
            if (fleet.random(2) == 0) // A second operator edits the same part concurrently.
                fleet.edit(part, "invalid", fleet.random(2) == 0);
            break;
        }
        case 3:
        case 4:
            if (const auto current = fleet.platform().list(part);
                current && !current->text->empty()) {
                const std::string word = *wordsOf(*current->text).begin();
                expected.erase(word);
                fleet.edit(part, word, false);
            }
            break;
        case 5:
            if (fleet.isAlive(node))
                fleet.kill(node);
            else
                fleet.start(node);
            break;
        case 6:
            fleet.setPartition(node, static_cast<int>(fleet.random(2)));
            break;
        case 7:
            fleet.setPlatformDown(fleet.random(2) == 0);
            break;
        case 8:
            fleet.setFaults({0.1, 0.1, 0.1, std::chrono::milliseconds(fleet.random(8000)), 0.2});
            break;
        default:
            fleet.setFaults({});
        }
        fleet.run(std::chrono::milliseconds(fleet.random(1500)));
    }
    return expected;
}

void healAndConverge(FleetSimulation &fleet)
{
    fleet.heal();
    fleet.run(2s); // Lets edits finish that were delayed by an outage.
    for (const std::string &part : kParts)
        fleet.edit(part, "invalid", false);
    fleet.run(25s);
}

/// Returns a fleet in which version 1, with the key "gate", is in effect.
std::unique_ptr<FleetSimulation> makeFleet(std::size_t nodes, std::uint64_t seed,
                                           FleetSafeguards safeguards = {})
{
    auto fleet = std::make_unique<FleetSimulation>(nodes, seed, safeguards);
    fleet->run(5s);
    fleet->edit("plans/a", "gate", true);
    fleet->run(5s);
    return fleet;
}

/// Partitions the first `partitioned` nodes from the others while the platform is down. Returns the
/// number of nodes on both sides that serve after 5 s and after another 60 s.
std::pair<std::size_t, std::size_t> servingAfterPartition(std::size_t partitioned,
                                                          FleetSafeguards safeguards)
{
    const auto fleet = makeFleet(8, 3, safeguards);
    fleet->setPlatformDown(true);
    fleet->run(10s);
    BOOST_TEST(fleet->servingCount() == 8U);
    for (std::size_t node = 0; node < partitioned; ++node)
        fleet->setPartition(node, 1);
    fleet->run(5s);
    const std::size_t early = fleet->servingCount();
    fleet->run(60s);
    return {early, fleet->servingCount()};
}

std::size_t violationsUnder(FleetSafeguards safeguards, std::uint64_t seed)
{
    FleetSimulation fleet(7, seed, safeguards);
    runRandomFaults(fleet, 60);
    return fleet.violations().size();
}

} // namespace

// Guards against a node that reverts to an earlier version, a withdrawn key that is served for
// longer than the bound, and an edit that is lost under concurrent edits, relays and faults.
BOOST_AUTO_TEST_CASE(nothingIsRevertedOrLostUnderRandomFaults)
{
    BOOST_TEST(rc::check([](std::uint64_t seed) {
        FleetSimulation fleet(*rc::gen::inRange<std::size_t>(3, 10), seed);
        const std::set<std::string> expected = runRandomFaults(fleet, 40);
        healAndConverge(fleet);
        for (const std::string &violation : fleet.violations())
            RC_LOG() << violation << '\n';
        RC_ASSERT(fleet.violations().empty());
        RC_ASSERT(fleet.servingCount() == fleet.size());
        RC_ASSERT(fleet.allAt(fleet.platform().head()->head.version));
        std::set<std::string> accepted;
        for (const auto &[name, text] : fleet.agent(0).configuration().accepted().texts)
            accepted.merge(wordsOf(text));
        RC_ASSERT(accepted == expected);
    }));
}

// Guards against an accepted version that does not reach every node in time when messages are
// lost, duplicated and delayed.
BOOST_AUTO_TEST_CASE(acceptedConfigurationIsInEffectEverywhereWithinFiveSeconds)
{
    for (const std::size_t size : {7U, 60U}) {
        const auto fleet = makeFleet(size, size);
        fleet->setFaults({0.05, 0.05, 0.02, 500ms, 0.02});
        for (int edit = 0; edit < 10; ++edit) {
            fleet->edit("plans/b", "key" + std::to_string(edit), true);
            fleet->run(5s);
            BOOST_TEST(fleet->platform().head()->head.version == 2U + edit);
            BOOST_TEST(fleet->allAt(2U + edit));
        }
        BOOST_TEST(fleet->stopCount() == 0U);
        BOOST_TEST(fleet->violations().empty());
    }
}

// Guards against an invalid part that blocks the edits of other parts or is not reported.
BOOST_AUTO_TEST_CASE(invalidPartKeepsItsAcceptedTextAndBlocksNoOther)
{
    const auto fleet = makeFleet(7, 1);
    fleet->edit("plans/a", "invalid", true);
    fleet->run(2s);
    fleet->edit("plans/b", "yard", true);
    fleet->run(5s);
    BOOST_TEST(fleet->servesKey(3, "gate"));
    BOOST_TEST(fleet->servesKey(3, "yard"));
    BOOST_TEST(!fleet->servesKey(3, "invalid"));
    BOOST_REQUIRE(fleet->platform().status.has_value());
    BOOST_REQUIRE(fleet->platform().status->rejected.size() == 1U);
    BOOST_TEST(fleet->platform().status->rejected[0].name == "plans/a");
    BOOST_TEST(fleet->platform().status->rejected[0].reason == "word \"invalid\"");
}

// Guards against a fleet that stops serving when only the platform is down, and against a node that
// cannot start or adopts an old version during the outage. With 40 nodes the votes are collected by
// group.
BOOST_AUTO_TEST_CASE(allNodesServeThroughOneHourPlatformOutage)
{
    for (const std::size_t size : {7U, 40U}) {
        const auto fleet = makeFleet(size, size);
        fleet->setPlatformDown(true);
        std::size_t minServing = size;
        for (int second = 0; second < 3600; ++second) {
            if (second == 1000)
                fleet->kill(3);
            if (second == 1010)
                fleet->start(3);
            fleet->run(1s);
            if (second < 1000 || second > 1020)
                minServing = std::min(minServing, fleet->servingCount());
        }
        BOOST_TEST(minServing == size);
        BOOST_TEST(fleet->stopCount() == 0U);
        BOOST_TEST(fleet->version(3) == 1U);
        BOOST_TEST(fleet->servesKey(3, "gate"));
        fleet->setPlatformDown(false);
        fleet->edit("plans/a", "gate", false);
        fleet->run(10s);
        for (std::size_t node = 0; node < size; ++node)
            BOOST_TEST(!fleet->servesKey(node, "gate"));
        BOOST_TEST(fleet->servingCount() == size);
    }
}

// Guards against a restarted node that adopts the version of the first peer that replies although
// another peer has a higher one.
BOOST_AUTO_TEST_CASE(restartedNodeAdoptsHighestVersionOfItsPeers)
{
    const auto fleet = makeFleet(7, 5);
    fleet->setPartition(6, 1);
    fleet->edit("plans/b", "yard", true);
    fleet->run(5s);
    fleet->kill(0);
    fleet->setPlatformDown(true);
    for (std::size_t node = 0; node < 6; ++node)
        fleet->setPartition(node, 1);
    fleet->run(100ms);
    fleet->start(0);
    fleet->run(5s);
    BOOST_TEST(fleet->version(0) == 2U);
    BOOST_TEST(fleet->allAt(2));
}

// Guards against a partitioned node that continues to serve a key that may have been withdrawn.
BOOST_AUTO_TEST_CASE(isolatedNodeStopsServingWithinFiveSeconds)
{
    const auto fleet = makeFleet(7, 2);
    fleet->setPartition(4, 4);
    fleet->edit("plans/a", "gate", false);
    fleet->run(5s);
    BOOST_TEST(!fleet->isServing(4));
    BOOST_TEST(fleet->servingCount() == 6U);
    fleet->setPartition(4, 0);
    fleet->run(3s);
    BOOST_TEST(fleet->isServing(4));
    BOOST_TEST(!fleet->servesKey(4, "gate"));
    BOOST_TEST(fleet->violations().empty());
}

// Guards against measuring the age of a freshness proof from its arrival: with a message delay
// above the bound, an expired proof would be accepted as fresh.
BOOST_AUTO_TEST_CASE(nodeWithDelayedMessagesStopsServing)
{
    const auto fleet = makeFleet(7, 2);
    fleet->setMessageDelay(4, 6s);
    fleet->setPlatformCut(4, true);
    fleet->run(2s);
    fleet->edit("plans/a", "gate", false);
    for (int second = 0; second < 30; ++second) {
        fleet->run(1s);
        BOOST_TEST((second < 5 || !fleet->isServing(4)));
    }
    BOOST_TEST(fleet->violations().empty());
}

// Guards against a majority without platform access that serves a withdrawn key because its members
// with the old version do not fetch the new version from the member that has it.
BOOST_AUTO_TEST_CASE(majorityWithoutPlatformAdoptsItsHighestVersion)
{
    const auto fleet = makeFleet(7, 2);
    for (const std::size_t node : {4U, 5U, 6U})
        fleet->setPartition(node, 1);
    fleet->edit("plans/a", "gate", false);
    fleet->run(1s);
    fleet->setPartition(3, 1); // Only node 3 has the new version in the majority.
    fleet->run(60s);
    BOOST_TEST(fleet->isServing(6));
    BOOST_TEST(!fleet->servesKey(6, "gate"));
    BOOST_TEST(fleet->violations().empty());
}

// Guards against both sides of a partition acting as the majority.
BOOST_AUTO_TEST_CASE(onlyMajorityServesDuringPlatformOutage)
{
    BOOST_TEST((servingAfterPartition(3, {}) == std::pair<std::size_t, std::size_t>(5, 5)));
    BOOST_TEST((servingAfterPartition(4, {}) == std::pair<std::size_t, std::size_t>(0, 0)));
}

// Verifies that the checks above detect each disabled safeguard.
BOOST_AUTO_TEST_CASE(disabledSafeguardsAreDetected)
{
    std::size_t withAll = 0;
    std::size_t withAnyVersion = 0;
    std::size_t withoutBound = 0;
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
        withAll += violationsUnder({}, seed);
        withAnyVersion += violationsUnder({.onlyHigherVersions = false}, seed);
        withoutBound += violationsUnder({.freshnessBound = false}, seed);
    }
    BOOST_TEST_MESSAGE("violations: all safeguards " << withAll << ", any version "
                                                     << withAnyVersion << ", no freshness bound "
                                                     << withoutBound);
    BOOST_TEST(withAll == 0U);
    BOOST_TEST(withAnyVersion > 0U);
    BOOST_TEST(withoutBound > 0U);

    const auto withoutPull = makeFleet(7, 1, {.pull = false});
    withoutPull->run(10s);
    BOOST_TEST(!withoutPull->allAt(1));

    BOOST_TEST(servingAfterPartition(3, {.majority = false}).second == 8U);
    BOOST_TEST(servingAfterPartition(4, {.majority = false}).second == 8U);
}
