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

/// Two large engines, twenty models and sixty adapters of the first model.
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

/// A fleet with one planner that records its answers and the highest number of loads at once.
struct Run
{
    explicit Run(PlacementSimulation::Settings settings = makeSettings())
        : fleet(std::move(settings), loadPlacementCharts())
    {
        fleet.onAnswer = [this](std::size_t, const ColdStartAnswered &answer) {
            answers.emplace_back(fleet.now(), answer);
        };
        fleet.onOrder = [this](std::size_t, const SendOrder &order) {
            if (order.kind == OrderKind::Load && !order.artifact.isAdapter())
                modelOrders.push_back(fleet.now());
            std::size_t adapters = 0;
            std::size_t models = 0;
            for (const FakeEngine &engine : fleet.engines()) {
                for (const LoadedWeights &weights : engine.loaded()) {
                    if (weights.state == WeightsState::Loading)
                        ++(weights.artifact.isAdapter() ? adapters : models);
                }
            }
            mostAdapters = std::max(mostAdapters, adapters);
            mostModels = std::max(mostModels, models);
        };
        fleet.setPlanner(0, true);
        fleet.runUntil(fleet.now() + seconds(1));
    }

    void runFor(core::Duration duration) { fleet.runUntil(fleet.now() + duration); }
    std::size_t served() const
    {
        return static_cast<std::size_t>(
            std::count_if(answers.begin(), answers.end(),
                          [](const auto &each) { return core::isOk(each.second.outcome); }));
    }

    PlacementSimulation fleet;
    std::vector<std::pair<core::TimePoint, ColdStartAnswered>> answers;
    std::vector<core::TimePoint> modelOrders;
    std::size_t mostModels = 0;
    std::size_t mostAdapters = 0;
};

} // namespace

// Guards against a load that starts during a platform outage, and against a waiting request that
// is not refused before its deadline or is refused with the wrong verdict.
BOOST_AUTO_TEST_CASE(platformOutageStartsNoLoadAndRefusesInTime)
{
    Run run;
    run.fleet.requestColdStart(0, model(1), seconds(30));
    run.runFor(seconds(10));
    BOOST_TEST(run.served() == 1U);
    run.fleet.startOutage(seconds(20));
    const core::TimePoint start = run.fleet.now();
    run.fleet.requestColdStart(0, model(2), seconds(5));
    run.fleet.requestColdStart(0, model(1), seconds(5));
    run.runFor(seconds(15));
    BOOST_TEST(run.fleet.loads() == 1U);
    BOOST_REQUIRE(run.answers.size() == 3U);
    BOOST_TEST(core::isOk(run.answers[1].second.outcome));
    BOOST_TEST((run.answers[2].first < start + seconds(5)));
    const core::Error &error = core::errorOf(run.answers[2].second.outcome);
    BOOST_TEST((error.verdict == core::Verdict::NotRun));
    BOOST_TEST((error.code == core::ErrorCode::PlatformUnavailable));
    run.runFor(seconds(10));
    run.fleet.requestColdStart(0, model(2), seconds(30));
    run.runFor(seconds(10));
    BOOST_TEST(run.served() == 3U);
}

// Guards against overloading the weight store: more than four model loads at once, more than
// three a second after the initial burst, or more than 32 adapter loads in flight.
BOOST_AUTO_TEST_CASE(weightStoreLimitsHold)
{
    PlacementSimulation::Settings settings = makeSettings();
    // Without the rate, four loads at once would give eight a second.
    settings.loadTime = [](CheckpointTier, const Artifact &artifact, std::uint64_t, unsigned) {
        return artifact.isAdapter() ? Millis(100) : Millis(500);
    };
    Run run(std::move(settings));
    for (unsigned i = 0; i < 20; ++i)
        run.fleet.requestColdStart(0, model(i), seconds(120));
    run.runFor(seconds(60));
    BOOST_TEST(run.served() == 20U);
    BOOST_TEST(run.mostModels <= 4U);
    for (std::size_t i = 6; i < run.modelOrders.size(); ++i)
        BOOST_TEST((run.modelOrders[i] - run.modelOrders[i - 6] >= seconds(1)));

    for (unsigned i = 0; i < 60; ++i)
        run.fleet.requestColdStart(0, adapter(i), seconds(60));
    run.runFor(seconds(30));
    BOOST_TEST(run.served() == 80U);
    BOOST_TEST(run.mostAdapters <= 32U);
}

// Guards against idle weights that stay loaded, and against unloading a model that is in use.
BOOST_AUTO_TEST_CASE(idleReplicasLeaveAfterTheirHoldTime)
{
    Run run;
    run.fleet.requestColdStart(0, adapter(3), seconds(30));
    run.fleet.requestColdStart(0, model(7), seconds(30));
    run.runFor(seconds(8));
    BOOST_TEST(run.served() == 2U);
    core::TargetId target;
    for (const auto &[time, answer] : run.answers) {
        if (answer.artifact == model(7))
            target = core::valueOf(answer.outcome);
    }
    run.fleet.send(0, ReplicaUsed {core::InstanceId {"n"}, model(7), target, 1});
    run.runFor(std::chrono::minutes(40));
    std::vector<Artifact> loaded;
    for (const FakeEngine &engine : run.fleet.engines()) {
        for (const LoadedWeights &weights : engine.loaded())
            loaded.push_back(weights.artifact);
    }
    BOOST_TEST((loaded == std::vector {model(7)}));
    run.fleet.send(0, NodeLeft {core::InstanceId {"n"}});
    run.runFor(std::chrono::minutes(40));
    BOOST_TEST(run.fleet.engines()[0].usedMiB() + run.fleet.engines()[1].usedMiB() == 0U);
    for (const Versioned<ModelRecord> &record : run.fleet.platform().list().models)
        BOOST_TEST(record.record.replicas.empty());
}

// Guards against an unload that is ordered while requests are in flight on the replica, also when
// the answer to a cancelled drain comes late.
BOOST_AUTO_TEST_CASE(drainWaitsForRequestsInFlight)
{
    Run run;
    run.fleet.isBusy = [&run](const Artifact &, const core::TargetId &) {
        return run.fleet.now() < core::TimePoint(std::chrono::hours(3));
    };
    bool isUnloadOrdered = false;
    bool isDrained = false;
    run.fleet.onOrder = [&isUnloadOrdered](std::size_t, const SendOrder &order) {
        isUnloadOrdered = isUnloadOrdered || order.kind == OrderKind::Unload;
    };
    run.fleet.onReplicaStateChanged = [&](std::size_t, const ReplicaStateChanged &moved) {
        if (moved.state != ReplicaState::Draining)
            return;
        isDrained = true;
        // The late answer to an earlier drain says nothing about this one.
        run.fleet.at(run.fleet.now(), [&run, moved] {
            run.fleet.send(0, ReplicaDrained {moved.artifact, moved.target, moved.drain - 1});
        });
    };
    run.fleet.requestColdStart(0, model(1), seconds(30));
    run.fleet.runUntil(core::TimePoint(std::chrono::hours(3)));
    BOOST_TEST(isDrained);
    BOOST_TEST(!isUnloadOrdered);
    run.runFor(seconds(10));
    BOOST_TEST(isUnloadOrdered);
}

// Guards against a policy that ignores a warm checkpoint, or opens a large gap for a small model.
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
    // A dearer reload is held longer, and full memory shortens the hold.
    BOOST_TEST(
        (policy.holdTime({seconds(10), 0.1, false}) > policy.holdTime({seconds(2), 0.1, false})));
    BOOST_TEST(
        (policy.holdTime({seconds(10), 1.0, false}) < policy.holdTime({seconds(10), 0.1, false})));
}

} // namespace boragerack::decisions
