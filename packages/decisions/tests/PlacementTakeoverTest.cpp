#include <boost/test/unit_test.hpp>

#include "PlacementSimulation.h"
#include "PlacementTestCharts.h"
#include "boragerack/decisions/WarmestCheckpointPolicy.h"

namespace boragerack::decisions {

namespace {

using std::chrono::seconds;

const Artifact kFirst {core::ModelId {"first"}, "1", {}};
const Artifact kSecond {core::ModelId {"second"}, "1", {}};

/// Simulation of one engine with memory for only one of two models, and two planners. The first
/// planner is interrupted after it has issued its first order and before the order is sent.
class TakeoverScenario
{
public:
    explicit TakeoverScenario(bool checksFencing)
        : simulation(makeSettings(checksFencing), loadPlacementCharts())
        , start(simulation.now())
    {
        simulation.onAnswer = [this](std::size_t, const ColdStartAnswered &answer) {
            if (core::isOk(answer.outcome))
                served.push_back(answer.artifact);
        };
        simulation.onOrder = [this](std::size_t index, const SendOrder &) {
            if (index != 0 || isInterrupted)
                return;
            isInterrupted = true;
            interrupt();
            simulation.setPlanner(0, false);
            simulation.setPlanner(1, true);
            simulation.requestColdStart(1, kSecond, seconds(60));
        };
        simulation.setPlanner(0, true);
        simulation.at(start + seconds(1),
                      [this] { simulation.requestColdStart(0, kFirst, seconds(60)); });
    }

    bool isReserved(const Artifact &artifact) const
    {
        for (const Versioned<TargetRecord> &target : simulation.platform().list().targets) {
            for (const MemoryReservation &reservation : target.record.reservations) {
                if (reservation.artifact == artifact)
                    return true;
            }
        }
        return false;
    }

    PlacementSimulation simulation;
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

// Guards against releasing the reservation of an issuer that is paused between checking its role
// and sending the order: on an engine that ignores fencing numbers, the order can still arrive.
BOOST_AUTO_TEST_CASE(pausedIssuerKeepsReservationOnUnfencedEngine)
{
    TakeoverScenario scenario(false);
    scenario.interrupt = [&scenario] { scenario.simulation.pause(0, seconds(25)); };
    scenario.simulation.runUntil(scenario.start + seconds(25));
    BOOST_TEST(scenario.isReserved(kFirst));
    BOOST_TEST(!scenario.isReserved(kSecond));
    scenario.simulation.runUntil(scenario.start + seconds(60));
    BOOST_TEST(scenario.simulation.loadsOf(kFirst) == 1U);
    BOOST_TEST((scenario.served == std::vector {kSecond}));
    BOOST_TEST(scenario.simulation.violations().empty());
}

// Guards against waiting for a paused issuer on an engine that checks fencing numbers, and against
// executing its late order there.
BOOST_AUTO_TEST_CASE(pausedIssuerIsSupersededOnFencedEngine)
{
    TakeoverScenario scenario(true);
    scenario.interrupt = [&scenario] { scenario.simulation.pause(0, seconds(25)); };
    scenario.simulation.runUntil(scenario.start + seconds(20));
    BOOST_TEST((scenario.served == std::vector {kSecond}));
    scenario.simulation.runUntil(scenario.start + seconds(60));
    BOOST_TEST(scenario.simulation.loadsOf(kFirst) == 0U);
    BOOST_TEST(scenario.simulation.violations().empty());
}

// Shows that the scenario detects a planner that treats another as removed after a time-out: on an
// engine that ignores fencing numbers, the late order then overcommits the memory.
BOOST_AUTO_TEST_CASE(timeoutOnUnfencedEngineOvercommitsMemory)
{
    TakeoverScenario scenario(false);
    scenario.interrupt = [&scenario] {
        scenario.simulation.pause(0, seconds(25));
        scenario.simulation.at(scenario.simulation.now() + seconds(5), [&scenario] {
            scenario.simulation.send(1, InstanceRemoved {core::InstanceId {"node-0"}});
        });
    };
    scenario.simulation.runUntil(scenario.start + seconds(60));
    BOOST_REQUIRE(!scenario.simulation.violations().empty());
    BOOST_TEST(scenario.simulation.violations().front()
               == "memory overcommitted by models/first@1 on t0");
}

// Guards against memory that stays reserved for a permanently removed instance, and against
// releasing it before InstanceRemoved.
BOOST_AUTO_TEST_CASE(removedInstanceReleasesItsMemory)
{
    TakeoverScenario scenario(false);
    scenario.interrupt = [&scenario] { scenario.simulation.kill(0); };
    scenario.simulation.runUntil(scenario.start + seconds(30));
    BOOST_TEST(scenario.isReserved(kFirst));
    scenario.simulation.runUntil(scenario.start + seconds(40));
    BOOST_TEST(!scenario.isReserved(kFirst));
    BOOST_TEST((scenario.served == std::vector {kSecond}));
    BOOST_TEST(scenario.simulation.violations().empty());
}

} // namespace boragerack::decisions
