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

/// Operators, nodes, network and platform do random things for a while. Gives the words that the
/// operators added and did not remove.
std::set<std::string> runRandomFaults(FleetSimulation &world, int steps)
{
    world.run(5s); // Every node writes its record.
    std::set<std::string> expected = {"first"};
    world.edit(kParts[0], "first", true);
    for (int step = 0; step < steps; ++step) {
        const std::size_t node = world.random(world.size());
        const std::string &part = kParts[world.random(kParts.size())];
        switch (world.random(10)) {
        case 0:
        case 1:
        case 2: {
            const std::string word = "key" + std::to_string(step) + "@" + part;
            expected.insert(word);
            world.edit(part, word, true);
            if (world.random(2) == 0) // A second operator edits the same part at the same time.
                world.edit(part, "invalid", world.random(2) == 0);
            break;
        }
        case 3:
        case 4:
            if (const auto held = world.platform().list(part); held && !held->text->empty()) {
                const std::string word = *wordsOf(*held->text).begin();
                expected.erase(word);
                world.edit(part, word, false);
            }
            break;
        case 5:
            if (world.isAlive(node))
                world.kill(node);
            else
                world.start(node);
            break;
        case 6:
            world.setPartition(node, static_cast<int>(world.random(2)));
            break;
        case 7:
            world.setPlatformDown(world.random(2) == 0);
            break;
        case 8:
            world.setFaults({0.1, 0.1, 0.1, std::chrono::milliseconds(world.random(8000)), 0.2});
            break;
        default:
            world.setFaults({});
        }
        world.run(std::chrono::milliseconds(world.random(1500)));
    }
    return expected;
}

void settle(FleetSimulation &world)
{
    world.heal();
    world.run(2s); // Lets operators finish whose edit had to wait.
    for (const std::string &part : kParts)
        world.edit(part, "invalid", false);
    world.run(25s);
}

/// A fleet with one key that has been in effect for a while.
std::unique_ptr<FleetSimulation> makeWorld(std::size_t nodes, std::uint64_t seed,
                                           FleetSafeguards mechanisms = {})
{
    auto world = std::make_unique<FleetSimulation>(nodes, seed, mechanisms);
    world->run(5s);
    world->edit("plans/a", "gate", true);
    world->run(5s);
    return world;
}

/// Cuts the first nodes off while the platform is down and gives the number of nodes that serve 5 s
/// and 60 s later, on both sides together.
std::pair<std::size_t, std::size_t> servingAfterCut(std::size_t cut, FleetSafeguards mechanisms)
{
    const auto world = makeWorld(8, 3, mechanisms);
    world->setPlatformDown(true);
    world->run(10s);
    BOOST_TEST(world->servingCount() == 8U);
    for (std::size_t node = 0; node < cut; ++node)
        world->setPartition(node, 1);
    world->run(5s);
    const std::size_t early = world->servingCount();
    world->run(60s);
    return {early, world->servingCount()};
}

std::size_t violationsUnder(FleetSafeguards mechanisms, std::uint64_t seed)
{
    FleetSimulation world(7, seed, mechanisms);
    runRandomFaults(world, 60);
    return world.violations().size();
}

} // namespace

// Guards against a node that goes back to an earlier version, a withdrawn key that is served for
// longer than the bound, and an edit that is lost when operators, relays and faults coincide.
BOOST_AUTO_TEST_CASE(nothingGoesBackOrIsLostUnderRandomFaults)
{
    BOOST_TEST(rc::check([](std::uint64_t seed) {
        FleetSimulation world(*rc::gen::inRange<std::size_t>(3, 10), seed);
        const std::set<std::string> expected = runRandomFaults(world, 40);
        settle(world);
        for (const std::string &violation : world.violations())
            RC_LOG() << violation << '\n';
        RC_ASSERT(world.violations().empty());
        RC_ASSERT(world.servingCount() == world.size());
        RC_ASSERT(world.allAt(world.platform().head()->head.version));
        std::set<std::string> accepted;
        for (const auto &[name, text] : world.agent(0).configuration().accepted().texts)
            accepted.merge(wordsOf(text));
        RC_ASSERT(accepted == expected);
    }));
}

// Guards against an accepted version that does not reach every node in time when messages are
// lost, repeated and late.
BOOST_AUTO_TEST_CASE(acceptedConfigurationIsInEffectEverywhereWithinFiveSeconds)
{
    for (const std::size_t size : {7U, 60U}) {
        const auto world = makeWorld(size, size);
        world->setFaults({0.05, 0.05, 0.02, 500ms, 0.02});
        for (int edit = 0; edit < 10; ++edit) {
            world->edit("plans/b", "key" + std::to_string(edit), true);
            world->run(5s);
            BOOST_TEST(world->platform().head()->head.version == 2U + edit);
            BOOST_TEST(world->allAt(2U + edit));
        }
        BOOST_TEST(world->stopCount() == 0U);
        BOOST_TEST(world->violations().empty());
    }
}

// Guards against an invalid part that holds up the edits of other parts or goes unreported.
BOOST_AUTO_TEST_CASE(invalidPartKeepsItsAcceptedTextAndHoldsUpNoOther)
{
    const auto world = makeWorld(7, 1);
    world->edit("plans/a", "invalid", true);
    world->run(2s);
    world->edit("plans/b", "yard", true);
    world->run(5s);
    BOOST_TEST(world->servesKey(3, "gate"));
    BOOST_TEST(world->servesKey(3, "yard"));
    BOOST_TEST(!world->servesKey(3, "invalid"));
    BOOST_REQUIRE(world->platform().status.has_value());
    BOOST_REQUIRE(world->platform().status->rejected.size() == 1U);
    BOOST_TEST(world->platform().status->rejected[0].name == "plans/a");
    BOOST_TEST(world->platform().status->rejected[0].reason == "word \"invalid\"");
}

// Guards against a fleet that stops serving when only the platform is down, and against a node that
// cannot start or takes an old version during the outage. 40 nodes use the grouped census.
BOOST_AUTO_TEST_CASE(allServeOnThroughAnHourWithoutThePlatform)
{
    for (const std::size_t size : {7U, 40U}) {
        const auto world = makeWorld(size, size);
        world->setPlatformDown(true);
        std::size_t fewest = size;
        for (int second = 0; second < 3600; ++second) {
            if (second == 1000)
                world->kill(3);
            if (second == 1010)
                world->start(3);
            world->run(1s);
            if (second < 1000 || second > 1020)
                fewest = std::min(fewest, world->servingCount());
        }
        BOOST_TEST(fewest == size);
        BOOST_TEST(world->stopCount() == 0U);
        BOOST_TEST(world->version(3) == 1U);
        BOOST_TEST(world->servesKey(3, "gate"));
        world->setPlatformDown(false);
        world->edit("plans/a", "gate", false);
        world->run(10s);
        for (std::size_t node = 0; node < size; ++node)
            BOOST_TEST(!world->servesKey(node, "gate"));
        BOOST_TEST(world->servingCount() == size);
    }
}

// Guards against a restarted node that takes the version of the first peer that answers although
// another peer has a higher one.
BOOST_AUTO_TEST_CASE(restartedNodeTakesTheHighestVersionOfItsPeers)
{
    const auto world = makeWorld(7, 5);
    world->setPartition(6, 1);
    world->edit("plans/b", "yard", true);
    world->run(5s);
    world->kill(0);
    world->setPlatformDown(true);
    for (std::size_t node = 0; node < 6; ++node)
        world->setPartition(node, 1);
    world->run(100ms);
    world->start(0);
    world->run(5s);
    BOOST_TEST(world->version(0) == 2U);
    BOOST_TEST(world->allAt(2));
}

// Guards against a cut-off node that keeps serving a key that may have been withdrawn.
BOOST_AUTO_TEST_CASE(isolatedNodeStopsWithinFiveSeconds)
{
    const auto world = makeWorld(7, 2);
    world->setPartition(4, 4);
    world->edit("plans/a", "gate", false);
    world->run(5s);
    BOOST_TEST(!world->isServing(4));
    BOOST_TEST(world->servingCount() == 6U);
    world->setPartition(4, 0);
    world->run(3s);
    BOOST_TEST(world->isServing(4));
    BOOST_TEST(!world->servesKey(4, "gate"));
    BOOST_TEST(world->violations().empty());
}

// Guards against counting the age of a beacon from its arrival: in messages that take longer than
// the bound, evidence that is too old would pass for fresh.
BOOST_AUTO_TEST_CASE(nodeBehindASlowNetworkStops)
{
    const auto world = makeWorld(7, 2);
    world->setMessageDelay(4, 6s);
    world->setPlatformCut(4, true);
    world->run(2s);
    world->edit("plans/a", "gate", false);
    for (int second = 0; second < 30; ++second) {
        world->run(1s);
        BOOST_TEST((second < 5 || !world->isServing(4)));
    }
    BOOST_TEST(world->violations().empty());
}

// Guards against a majority without the platform that serves a withdrawn key because its members
// with the old version do not learn that one of them has the new one.
BOOST_AUTO_TEST_CASE(majorityWithoutThePlatformTakesItsHighestVersion)
{
    const auto world = makeWorld(7, 2);
    for (const std::size_t node : {4U, 5U, 6U})
        world->setPartition(node, 1);
    world->edit("plans/a", "gate", false);
    world->run(1s);
    world->setPartition(3, 1); // Only node 3 brings the new version to the majority.
    world->run(60s);
    BOOST_TEST(world->isServing(6));
    BOOST_TEST(!world->servesKey(6, "gate"));
    BOOST_TEST(world->violations().empty());
}

// Guards against two parts of a fleet that both count as a majority.
BOOST_AUTO_TEST_CASE(withoutThePlatformOnlyMoreThanHalfServesOn)
{
    BOOST_TEST((servingAfterCut(3, {}) == std::pair<std::size_t, std::size_t>(5, 5)));
    BOOST_TEST((servingAfterCut(4, {}) == std::pair<std::size_t, std::size_t>(0, 0)));
}

// Shows that the checks above notice when a mechanism is missing.
BOOST_AUTO_TEST_CASE(checksFailWithoutTheMechanisms)
{
    std::size_t withAll = 0;
    std::size_t withAnyVersion = 0;
    std::size_t withoutBound = 0;
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
        withAll += violationsUnder({}, seed);
        withAnyVersion += violationsUnder({.onlyHigherVersions = false}, seed);
        withoutBound += violationsUnder({.freshnessBound = false}, seed);
    }
    BOOST_TEST_MESSAGE("violations: all mechanisms " << withAll << ", any version "
                                                     << withAnyVersion << ", no freshness bound "
                                                     << withoutBound);
    BOOST_TEST(withAll == 0U);
    BOOST_TEST(withAnyVersion > 0U);
    BOOST_TEST(withoutBound > 0U);

    const auto withoutPull = makeWorld(7, 1, {.pull = false});
    withoutPull->run(10s);
    BOOST_TEST(!withoutPull->allAt(1));

    BOOST_TEST(servingAfterCut(3, {.majority = false}).second == 8U);
    BOOST_TEST(servingAfterCut(4, {.majority = false}).second == 8U);
}
