#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

#include "PlacementSimulation.h"
#include "PlacementTestCharts.h"
#include "boragerack/decisions/WarmestCheckpointPolicy.h"

namespace boragerack::decisions {

namespace {

Artifact model(int number)
{
    return {core::ModelId {"m" + std::to_string(number)}, "1", {}};
}

Artifact adapter(int number)
{
    return {core::ModelId {"m0"}, "1", core::AdapterId {"a" + std::to_string(number)}};
}

/// Three engines of different sizes without enough memory for all six models.
PlacementSimulation::Settings makeSettings(std::uint64_t seed, std::size_t planners)
{
    PlacementSimulation::Settings settings;
    settings.engines = {{core::TargetId {"t0"}, 1000, false, 400, 2000},
                        {core::TargetId {"t1"}, 600, true, 400, 2000},
                        {core::TargetId {"t2"}, 450, false, 0, 0}};
    for (int i = 0; i < 6; ++i)
        settings.catalogue.push_back({model(i), 300 + 20U * static_cast<unsigned>(i)});
    settings.catalogue.push_back({adapter(0), 10});
    settings.catalogue.push_back({adapter(1), 10});
    settings.planners = planners;
    settings.seed = seed;
    settings.makePolicy = [] {
        WarmestCheckpointPolicy::Settings policy;
        policy.minHold = std::chrono::seconds(3);
        return std::make_unique<WarmestCheckpointPolicy>(policy);
    };
    settings.loadTime = [](CheckpointTier place, const Artifact &artifact, std::uint64_t,
                           unsigned) {
        if (artifact.isAdapter())
            return Millis(10);
        return place == CheckpointTier::Remote ? Millis(2500) : Millis(400);
    };
    return settings;
}

enum class FaultKind {
    MoveRole,
    AddRole,
    Pause,
    Kill,
    Outage,
    LostAnswers,
    SlowOrders,
    SlowCalls,
    LaggingReports,
    EngineDeath,
};
constexpr int kFaultKinds = 10;

struct Fault
{
    int atMs = 0;
    int kind = 0;
    int index = 0;
    int durationMs = 0;
};

struct ScheduledRequest
{
    int atMs = 0;
    int artifact = 0;
    int planner = 0;
};

std::ostream &operator<<(std::ostream &stream, const Fault &fault)
{
    return stream << "fault " << fault.kind << " at " << fault.atMs << " index " << fault.index
                  << " for " << fault.durationMs;
}

std::ostream &operator<<(std::ostream &stream, const ScheduledRequest &request)
{
    return stream << "request " << request.artifact << " at " << request.atMs << " to planner "
                  << request.planner;
}

constexpr std::size_t kPlanners = 3;
constexpr Millis kRequestTimeout(8000);

bool interruptsProcess(const Fault &fault)
{
    const auto kind = static_cast<FaultKind>(fault.kind);
    return kind == FaultKind::Pause || kind == FaultKind::Kill;
}

void inject(PlacementSimulation &simulation, const Fault &fault)
{
    const auto process = static_cast<std::size_t>(fault.index) % kPlanners;
    const Millis duration(fault.durationMs);
    switch (static_cast<FaultKind>(fault.kind)) {
    case FaultKind::MoveRole:
        for (std::size_t i = 0; i < kPlanners; ++i)
            simulation.setPlanner(i, i == process);
        break;
    case FaultKind::AddRole:
        simulation.setPlanner(process, true);
        break;
    case FaultKind::Pause:
        simulation.pause(process, duration * 2);
        break;
    case FaultKind::Kill:
        // Process 0 is never terminated, so that recovery can be checked.
        if (process != 0)
            simulation.kill(process);
        break;
    case FaultKind::Outage:
        simulation.startOutage(duration);
        break;
    case FaultKind::LostAnswers:
        simulation.delays.lostAnswerPercent = 30;
        break;
    case FaultKind::SlowOrders:
        simulation.delays.order = duration;
        break;
    case FaultKind::SlowCalls:
        simulation.delays.call = duration / 4;
        break;
    case FaultKind::LaggingReports:
        simulation.delays.reportLag = duration;
        break;
    case FaultKind::EngineDeath:
        simulation.killEngine(static_cast<std::size_t>(fault.index) % 3);
        break;
    }
}

rc::Gen<Fault> genFault()
{
    return rc::gen::build<Fault>(rc::gen::set(&Fault::atMs, rc::gen::inRange(0, 40000)),
                                 rc::gen::set(&Fault::kind, rc::gen::inRange(0, kFaultKinds)),
                                 rc::gen::set(&Fault::index, rc::gen::inRange(0, 3)),
                                 rc::gen::set(&Fault::durationMs, rc::gen::inRange(200, 9000)));
}

rc::Gen<ScheduledRequest> genRequest()
{
    return rc::gen::build<ScheduledRequest>(
        rc::gen::set(&ScheduledRequest::atMs, rc::gen::inRange(100, 40000)),
        rc::gen::set(&ScheduledRequest::artifact, rc::gen::inRange(0, 8)),
        rc::gen::set(&ScheduledRequest::planner, rc::gen::inRange(0, 3)));
}

/// Result of one scenario: the violated invariants, and whether a request succeeds after the
/// faults.
struct Outcome
{
    std::vector<std::string> violations;
    bool isRecovered = false;
};

Outcome runScenario(std::uint64_t seed, const std::vector<ScheduledRequest> &requests,
                    const std::vector<Fault> &faults, DisabledMechanism disabledMechanism)
{
    PlacementSimulation::Settings settings = makeSettings(seed, kPlanners);
    settings.disabledMechanism = disabledMechanism;
    PlacementSimulation simulation(std::move(settings), loadPlacementCharts());
    const core::TimePoint start = simulation.now();
    Outcome outcome;
    std::map<std::uint64_t, core::TimePoint> answeredAt;
    std::size_t served = 0;
    simulation.onAnswer = [&](std::size_t, const ColdStartAnswered &answer) {
        if (!answeredAt.emplace(answer.request, simulation.now()).second)
            outcome.violations.push_back("answered twice");
        if (core::isOk(answer.outcome))
            ++served;
        else if (core::errorOf(answer.outcome).verdict != core::Verdict::NotRun)
            outcome.violations.push_back("refused without NotRun");
    };
    simulation.setPlanner(0, true);
    for (const ScheduledRequest &request : requests) {
        const Artifact artifact =
            request.artifact < 6 ? model(request.artifact) : adapter(request.artifact - 6);
        simulation.at(start + Millis(request.atMs), [&simulation, request, artifact] {
            simulation.requestColdStart(static_cast<std::size_t>(request.planner), artifact,
                                        kRequestTimeout);
        });
    }
    for (const Fault &fault : faults)
        simulation.at(start + Millis(fault.atMs),
                      [&simulation, fault] { inject(simulation, fault); });
    simulation.runUntil(start + std::chrono::seconds(60));

    // After the faults only process 0 is planner; 90 s suffice for the removal of an instance.
    simulation.delays = {};
    for (std::size_t i = 0; i < kPlanners; ++i)
        simulation.setPlanner(i, i == 0);
    simulation.runUntil(start + std::chrono::seconds(150));
    const std::size_t servedBefore = served;
    simulation.requestColdStart(0, model(1), kRequestTimeout * 4);
    simulation.runUntil(start + std::chrono::seconds(200));
    outcome.isRecovered = served > servedBefore;
    // A paused or terminated process cannot answer.
    const bool isInterrupted = std::any_of(faults.begin(), faults.end(), interruptsProcess);
    for (const auto &[request, deadline] : simulation.deadlines()) {
        const auto answer = answeredAt.find(request);
        if (!isInterrupted && (answer == answeredAt.end() || answer->second >= deadline))
            outcome.violations.push_back("not answered before the deadline");
    }
    outcome.violations.insert(outcome.violations.end(), simulation.violations().begin(),
                              simulation.violations().end());
    return outcome;
}

/// Runs random scenarios; returns the first violated invariant, or an empty string if there is
/// none.
std::string findViolation(DisabledMechanism disabledMechanism, std::uint64_t scenarios)
{
    for (std::uint64_t seed = 1; seed <= scenarios; ++seed) {
        const rc::Random random(seed);
        const auto requests =
            rc::gen::container<std::vector<ScheduledRequest>>(30, genRequest())(random, 100)
                .value();
        const auto faults =
            rc::gen::container<std::vector<Fault>>(8, genFault())(random, 100).value();
        const Outcome outcome = runScenario(seed, requests, faults, disabledMechanism);
        if (!outcome.violations.empty())
            return "scenario " + std::to_string(seed) + ": " + outcome.violations.front();
    }
    return {};
}

} // namespace

// Guards against overcommitted memory, loads without a decision, missing or duplicate answers, and
// failure to recover, under any combination of faults.
BOOST_AUTO_TEST_CASE(invariantsHoldUnderFaults)
{
    BOOST_TEST(rc::check("placement invariants", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto requests = *rc::gen::container<std::vector<ScheduledRequest>>(genRequest());
        auto faults = *rc::gen::container<std::vector<Fault>>(genFault());
        // Deadlines are checked only if no process is paused or terminated.
        if (seed % 2 == 0)
            std::erase_if(faults, interruptsProcess);
        const Outcome outcome = runScenario(seed, requests, faults, DisabledMechanism::Nothing);
        for (const std::string &violation : outcome.violations)
            RC_LOG() << violation << '\n';
        RC_ASSERT(outcome.violations.empty());
        RC_ASSERT(outcome.isRecovered);
    }));
}

// Guards against scenarios that do not detect faults: each mechanism is disabled once, and at least
// one scenario must then report a violation.
BOOST_AUTO_TEST_CASE(scenariosDetectEachDisabledMechanism)
{
    BOOST_TEST(findViolation(DisabledMechanism::Nothing, 300) == "");
    for (const DisabledMechanism mechanism :
         {DisabledMechanism::ReservationBeforeOrder, DisabledMechanism::HoldingUnconfirmedOrders,
          DisabledMechanism::RecognisingOwnWrites, DisabledMechanism::Coalescing}) {
        const std::string violation = findViolation(mechanism, 300);
        BOOST_TEST_MESSAGE("disabled mechanism " << static_cast<int>(mechanism) << ": "
                                                 << violation);
        BOOST_TEST(violation != "");
    }
}

namespace {

/// Sends 21 concurrent requests for a model that is not loaded. Returns the number of its loads and
/// of the requests that were answered with a target.
std::pair<std::size_t, std::size_t> runBurst(std::uint64_t seed, bool areAllPlanners,
                                             DisabledMechanism disabledMechanism)
{
    PlacementSimulation::Settings settings = makeSettings(seed, kPlanners);
    settings.disabledMechanism = disabledMechanism;
    PlacementSimulation simulation(std::move(settings), loadPlacementCharts());
    std::size_t served = 0;
    simulation.onAnswer = [&served](std::size_t, const ColdStartAnswered &answer) {
        served += core::isOk(answer.outcome) ? 1 : 0;
    };
    for (std::size_t i = 0; i < kPlanners; ++i)
        simulation.setPlanner(i, areAllPlanners || i == 0);
    const core::TimePoint start = simulation.now() + std::chrono::seconds(2);
    for (int request = 0; request < 21; ++request) {
        const std::size_t planner = areAllPlanners ? static_cast<std::size_t>(request) % 3 : 0;
        simulation.at(start + Millis(request / 3), [&simulation, planner] {
            simulation.requestColdStart(planner, model(2), kRequestTimeout);
        });
    }
    simulation.runUntil(start + std::chrono::seconds(6));
    return {simulation.loadsOf(model(2)), served};
}

} // namespace

// Guards against one load per node when several nodes request the same model concurrently,
// including when several nodes act as planner.
BOOST_AUTO_TEST_CASE(burstOfFirstRequestsGivesOneLoad)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        for (const bool areAllPlanners : {false, true}) {
            const auto [loads, served] = runBurst(seed, areAllPlanners, DisabledMechanism::Nothing);
            BOOST_TEST(loads == 1U);
            BOOST_TEST(served == 21U);
        }
    }
    BOOST_TEST(runBurst(1, true, DisabledMechanism::Coalescing).first > 1U);
}

} // namespace boragerack::decisions
