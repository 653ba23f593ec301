#include <boost/test/unit_test.hpp>

#include "PlacementSimulation.h"
#include "PlacementTestCharts.h"
#include "boragerack/decisions/LeastRecentlyUsedPolicy.h"
#include "boragerack/decisions/WarmestCheckpointPolicy.h"

namespace boragerack::decisions {

namespace {

using std::chrono::seconds;

Artifact model(unsigned number)
{
    return {core::ModelId {"m" + std::to_string(number)}, "1", {}};
}

Artifact adapter(unsigned number)
{
    return {core::ModelId {"m0"}, "1", core::AdapterId {"a" + std::to_string(number)}};
}

/// Two engines with memory for all artifacts: twenty models and sixty adapters of the first model.
PlacementSimulation::Settings makeSettings()
{
    PlacementSimulation::Settings settings;
    settings.engines = {{core::TargetId {"t0"}, 20000, true, 0, 0},
                        {core::TargetId {"t1"}, 20000, false, 0, 0}};
    for (unsigned i = 0; i < 20; ++i)
        settings.catalogue.push_back({model(i), 1000});
    for (unsigned i = 0; i < 60; ++i)
        settings.catalogue.push_back({adapter(i), 10});
    settings.makePolicy = [] {
        return std::make_unique<WarmestCheckpointPolicy>(WarmestCheckpointPolicy::Settings {});
    };
    settings.loadTime = [](CheckpointTier, const Artifact &artifact, std::uint64_t, unsigned) {
        return artifact.isAdapter() ? Millis(100) : Millis(2000);
    };
    return settings;
}

/// Simulation with one planner. Records its answers, the times of its model loads, and the highest
/// number of concurrent loads.
struct PlannerRun
{
    explicit PlannerRun(PlacementSimulation::Settings settings = makeSettings())
        : simulation(std::move(settings), loadPlacementCharts())
    {
        simulation.onAnswer = [this](std::size_t, const ColdStartAnswered &answer) {
            answers.emplace_back(simulation.now(), answer);
        };
        simulation.onOrder = [this](std::size_t, const SendOrder &order) {
            if (order.kind == OrderKind::Load && !order.artifact.isAdapter())
                modelLoadTimes.push_back(simulation.now());
            std::size_t adapterLoads = 0;
            std::size_t modelLoads = 0;
            for (const FakeEngine &engine : simulation.engines()) {
                for (const LoadedWeights &weights : engine.loaded()) {
                    if (weights.state == WeightsState::Loading)
                        ++(weights.artifact.isAdapter() ? adapterLoads : modelLoads);
                }
            }
            peakAdapterLoads = std::max(peakAdapterLoads, adapterLoads);
            peakModelLoads = std::max(peakModelLoads, modelLoads);
        };
        simulation.setPlanner(0, true);
        simulation.runUntil(simulation.now() + seconds(1));
    }

    void runFor(core::Duration duration) { simulation.runUntil(simulation.now() + duration); }
    std::size_t servedCount() const
    {
        return static_cast<std::size_t>(
            std::count_if(answers.begin(), answers.end(),
                          [](const auto &each) { return core::isOk(each.second.outcome); }));
    }

    PlacementSimulation simulation;
    std::vector<std::pair<core::TimePoint, ColdStartAnswered>> answers;
    std::vector<core::TimePoint> modelLoadTimes;
    std::size_t peakModelLoads = 0;
    std::size_t peakAdapterLoads = 0;
};

} // namespace

// Guards against a load that starts during a platform outage, and against a waiting request that
// is refused after its deadline, with the wrong verdict, or not at all.
BOOST_AUTO_TEST_CASE(platformOutageStartsNoLoadAndRefusesBeforeDeadline)
{
    PlannerRun run;
    run.simulation.requestColdStart(0, model(1), seconds(30));
    run.runFor(seconds(10));
    BOOST_TEST(run.servedCount() == 1U);
    run.simulation.startOutage(seconds(20));
    const core::TimePoint start = run.simulation.now();
    run.simulation.requestColdStart(0, model(2), seconds(5));
    run.simulation.requestColdStart(0, model(1), seconds(5));
    run.runFor(seconds(15));
    BOOST_TEST(run.simulation.loads() == 1U);
    BOOST_REQUIRE(run.answers.size() == 3U);
    BOOST_TEST(core::isOk(run.answers[1].second.outcome));
    BOOST_TEST((run.answers[2].first < start + seconds(5)));
    const core::Error &error = core::errorOf(run.answers[2].second.outcome);
    BOOST_TEST((error.verdict == core::Verdict::NotRun));
    BOOST_TEST((error.code == core::ErrorCode::PlatformUnavailable));
    run.runFor(seconds(10));
    run.simulation.requestColdStart(0, model(2), seconds(30));
    run.runFor(seconds(10));
    BOOST_TEST(run.servedCount() == 3U);
}

// Guards against overloading the weight store: more than four concurrent model loads, more than
// three per second after the initial burst, or more than 32 concurrent adapter loads.
BOOST_AUTO_TEST_CASE(weightStoreLimitsHold)
{
    PlacementSimulation::Settings settings = makeSettings();
    // Without the rate limit, four concurrent loads of 0.5 s would give eight loads per second.
    settings.loadTime = [](CheckpointTier, const Artifact &artifact, std::uint64_t, unsigned) {
        return artifact.isAdapter() ? Millis(100) : Millis(500);
    };
    PlannerRun run(std::move(settings));
    for (unsigned i = 0; i < 20; ++i)
        run.simulation.requestColdStart(0, model(i), seconds(120));
    run.runFor(seconds(60));
    BOOST_TEST(run.servedCount() == 20U);
    BOOST_TEST(run.peakModelLoads <= 4U);
    for (std::size_t i = 6; i < run.modelLoadTimes.size(); ++i)
        BOOST_TEST((run.modelLoadTimes[i] - run.modelLoadTimes[i - 6] >= seconds(1)));

    for (unsigned i = 0; i < 60; ++i)
        run.simulation.requestColdStart(0, adapter(i), seconds(60));
    run.runFor(seconds(30));
    BOOST_TEST(run.servedCount() == 80U);
    BOOST_TEST(run.peakAdapterLoads <= 32U);
}

// Guards against idle replicas that are never unloaded, and against unloading a model in use.
BOOST_AUTO_TEST_CASE(idleReplicasAreUnloadedAfterHoldTime)
{
    PlannerRun run;
    run.simulation.requestColdStart(0, adapter(3), seconds(30));
    run.simulation.requestColdStart(0, model(7), seconds(30));
    run.runFor(seconds(8));
    BOOST_TEST(run.servedCount() == 2U);
    core::TargetId target;
    for (const auto &[time, answer] : run.answers) {
        if (answer.artifact == model(7))
            target = core::valueOf(answer.outcome);
    }
    run.simulation.send(0, ReplicaUsed {core::InstanceId {"n"}, model(7), target, 1});
    run.runFor(std::chrono::minutes(40));
    std::vector<Artifact> loaded;
    for (const FakeEngine &engine : run.simulation.engines()) {
        for (const LoadedWeights &weights : engine.loaded())
            loaded.push_back(weights.artifact);
    }
    BOOST_TEST((loaded == std::vector {model(7)}));
    run.simulation.send(0, NodeLeft {core::InstanceId {"n"}});
    run.runFor(std::chrono::minutes(40));
    BOOST_TEST(run.simulation.engines()[0].usedMiB() + run.simulation.engines()[1].usedMiB() == 0U);
    for (const Versioned<ModelRecord> &record : run.simulation.platform().list().models)
        BOOST_TEST(record.record.replicas.empty());
}

// Guards against ordering an unload while requests are in flight on the replica, including when
// ReplicaDrained for an earlier, cancelled drain arrives late.
BOOST_AUTO_TEST_CASE(drainWaitsForRequestsInFlight)
{
    PlannerRun run;
    run.simulation.isBusy = [&run](const Artifact &, const core::TargetId &) {
        return run.simulation.now() < core::TimePoint(std::chrono::hours(3));
    };
    bool isUnloadOrdered = false;
    bool isDrained = false;
    run.simulation.onOrder = [&isUnloadOrdered](std::size_t, const SendOrder &order) {
        isUnloadOrdered = isUnloadOrdered || order.kind == OrderKind::Unload;
    };
    run.simulation.onReplicaStateChanged = [&](std::size_t, const ReplicaStateChanged &change) {
        if (change.state != ReplicaState::Draining)
            return;
        isDrained = true;
        // A late ReplicaDrained of an earlier drain must be ignored.
        run.simulation.at(run.simulation.now(), [&run, change] {
            run.simulation.send(0,
                                ReplicaDrained {change.artifact, change.target, change.drain - 1});
        });
    };
    run.simulation.requestColdStart(0, model(1), seconds(30));
    run.simulation.runUntil(core::TimePoint(std::chrono::hours(3)));
    BOOST_TEST(isDrained);
    BOOST_TEST(!isUnloadOrdered);
    run.runFor(seconds(10));
    BOOST_TEST(isUnloadOrdered);
}

// Guards against a policy that ignores a cached checkpoint, or that uses a large free block for a
// small model.
BOOST_AUTO_TEST_CASE(warmestPolicyPrefersCachedAndTightTargets)
{
    const WarmestCheckpointPolicy policy(WarmestCheckpointPolicy::Settings {});
    const core::TimePoint now(std::chrono::hours(1));
    const TargetOffer cold {core::TargetId {"cold"}, 100,         90,
                            CheckpointTier::Remote,  seconds(20), {}};
    const TargetOffer tight {core::TargetId {"tight"}, 100,         40,
                             CheckpointTier::Remote,   seconds(20), {}};
    const TargetOffer warm {
        core::TargetId {"warm"}, 100,        10,
        CheckpointTier::Memory,  seconds(1), {{model(5), 50, now - seconds(300), seconds(2)}}};
    const auto best = policy.choose(30, std::vector {cold, tight, warm}, now);
    BOOST_REQUIRE(best.has_value());
    BOOST_TEST(best->target.value == "warm");
    BOOST_TEST((best->evicted == std::vector {model(5)}));
    BOOST_TEST(policy.choose(30, std::vector {cold, tight}, now)->target.value == "tight");
    BOOST_TEST(!policy.choose(95, std::vector {cold, tight}, now).has_value());
    const LeastRecentlyUsedPolicy baseline(seconds(60));
    BOOST_TEST(baseline.choose(30, std::vector {cold, tight, warm}, now)->target.value == "cold");
    // A higher reload cost increases the hold time, and full memory reduces it.
    BOOST_TEST(
        (policy.holdTime({seconds(10), 0.1, false}) > policy.holdTime({seconds(2), 0.1, false})));
    BOOST_TEST(
        (policy.holdTime({seconds(10), 1.0, false}) < policy.holdTime({seconds(10), 0.1, false})));
}

} // namespace boragerack::decisions
