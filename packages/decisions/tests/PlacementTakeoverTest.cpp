#include <boost/test/unit_test.hpp>

#include "PlacementSimulation.h"
#include "PlacementTestCharts.h"
#include "boragerack/decisions/WarmestCheckpointPolicy.h"

namespace boragerack::decisions {

namespace {

using std::chrono::seconds;

const Artifact kFirst {core::ModelId {"first"}, "1", {}};
const Artifact kSecond {core::ModelId {"second"}, "1", {}};

/// One engine that can hold only one of two models, and two planners. The first planner is
/// interrupted after it has decided to send its first order and before the order leaves.
class Takeover
{
public:
    explicit Takeover(bool checksFencing)
        : fleet(makeSettings(checksFencing), loadPlacementCharts())
        , start(fleet.now())
    {
        fleet.onAnswer = [this](std::size_t, const ColdStartAnswered &answer) {
            if (core::isOk(answer.outcome))
                served.push_back(answer.artifact);
        };
        fleet.onOrder = [this](std::size_t index, const SendOrder &) {
            if (index != 0 || isInterrupted)
                return;
            isInterrupted = true;
            interrupt();
            fleet.setPlanner(0, false);
            fleet.setPlanner(1, true);
            fleet.requestColdStart(1, kSecond, seconds(60));
        };
        fleet.setPlanner(0, true);
        fleet.at(start + seconds(1), [this] { fleet.requestColdStart(0, kFirst, seconds(60)); });
    }

    bool isReserved(const Artifact &artifact) const
    {
        for (const Versioned<TargetRecord> &target : fleet.platform().list().targets) {
            for (const MemoryReservation &intent : target.record.reservations) {
                if (intent.artifact == artifact)
                    return true;
            }
        }
        return false;
    }

    PlacementSimulation fleet;
    core::TimePoint start;
    std::vector<Artifact> served;
    bool isInterrupted = false;
    std::function<void()> interrupt = [] {};

private:
    static PlacementSimulation::Settings makeSettings(bool checksFencing)
    {
        PlacementSimulation::Settings settings;
        settings.engines = {{core::TargetId {"t0"}, 1000, checksFencing, 0, 0}};
        settings.catalogue = {{kFirst, 600}, {kSecond, 600}};
        settings.planners = 2;
        settings.makePolicy = [] {
            return std::make_unique<WarmestCheckpointPolicy>(WarmestCheckpointPolicy::Settings {});
        };
        settings.loadTime = [](CheckpointTier, const Artifact &, std::uint64_t, unsigned) {
            return seconds(1);
        };
        return settings;
    }
};

} // namespace

// Guards against the trap of an orderer that is paused between its check and its send: on an
// engine that ignores fencing numbers its memory must stay reserved until the order has arrived.
BOOST_AUTO_TEST_CASE(pausedOrdererKeepsItsMemoryOnUnfencedEngine)
{
    Takeover takeover(false);
    takeover.interrupt = [&takeover] { takeover.fleet.pause(0, seconds(25)); };
    takeover.fleet.runUntil(takeover.start + seconds(25));
    BOOST_TEST(takeover.isReserved(kFirst));
    BOOST_TEST(!takeover.isReserved(kSecond));
    takeover.fleet.runUntil(takeover.start + seconds(60));
    BOOST_TEST(takeover.fleet.loadsOf(kFirst) == 1U);
    BOOST_TEST((takeover.served == std::vector {kSecond}));
    BOOST_TEST(takeover.fleet.violations().empty());
}

// Guards against waiting for a paused orderer on an engine that checks fencing numbers, and
// against its late order taking effect there.
BOOST_AUTO_TEST_CASE(pausedOrdererIsSupersededOnFencedEngine)
{
    Takeover takeover(true);
    takeover.interrupt = [&takeover] { takeover.fleet.pause(0, seconds(25)); };
    takeover.fleet.runUntil(takeover.start + seconds(20));
    BOOST_TEST((takeover.served == std::vector {kSecond}));
    takeover.fleet.runUntil(takeover.start + seconds(60));
    BOOST_TEST(takeover.fleet.loadsOf(kFirst) == 0U);
    BOOST_TEST(takeover.fleet.violations().empty());
}

// Shows that the scenario above catches a planner that judges another by a time limit.
BOOST_AUTO_TEST_CASE(timeLimitOnUnfencedEngineOvercommitsMemory)
{
    Takeover takeover(false);
    takeover.interrupt = [&takeover] {
        takeover.fleet.pause(0, seconds(25));
        takeover.fleet.at(takeover.fleet.now() + seconds(5), [&takeover] {
            takeover.fleet.send(1, InstanceRemoved {core::InstanceId {"node-0"}});
        });
    };
    takeover.fleet.runUntil(takeover.start + seconds(60));
    BOOST_REQUIRE(!takeover.fleet.violations().empty());
    BOOST_TEST(takeover.fleet.violations().front()
               == "memory overcommitted by models/first@1 on t0");
}

// Guards against memory that stays reserved for ever by an instance that is gone for good, and
// against releasing it before that is certain.
BOOST_AUTO_TEST_CASE(instanceGoneForGoodReleasesItsMemory)
{
    Takeover takeover(false);
    takeover.interrupt = [&takeover] { takeover.fleet.kill(0); };
    takeover.fleet.runUntil(takeover.start + seconds(30));
    BOOST_TEST(takeover.isReserved(kFirst));
    takeover.fleet.runUntil(takeover.start + seconds(40));
    BOOST_TEST(!takeover.isReserved(kFirst));
    BOOST_TEST((takeover.served == std::vector {kSecond}));
    BOOST_TEST(takeover.fleet.violations().empty());
}

} // namespace boragerack::decisions
