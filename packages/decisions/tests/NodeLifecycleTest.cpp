#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

#include <rapidcheck.h>

#include "RequestCharts.h"
#include "boragerack/decisions/NodeLifecycle.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using Actions = std::vector<NodeChartAction>;

constexpr core::TimePoint kStart {};
constexpr milliseconds kAddressLifetime(10000);

struct Arrival
{
    milliseconds at;
    milliseconds duration;
};

struct DrainResult
{
    int refused = 0;
    int terminated = 0;
    bool isStopped = false;
    /// The node released its shares before the last request in flight ended.
    bool releasedEarly = false;
};

/// Simulates a node that receives a stop request at 1 s. Callers have cached its address and send
/// requests until that expires.
DrainResult runDrain(const charts::StateChart &chart, const std::vector<Arrival> &arrivals)
{
    NodeLifecycle node(makeNodeBinding(chart), StopTimes {kAddressLifetime});
    DrainResult result;
    int openRequests = 0;
    const auto handleEvent = [&](const lifecycle::Event &event, core::TimePoint now) {
        for (const NodeChartAction step : node.handle(event, now)) {
            if (step == NodeChartAction::EndStreams)
                result.terminated += std::exchange(openRequests, 0);
            if (step == NodeChartAction::ReleaseShares && openRequests > 0)
                result.releasedEarly = true;
        }
    };
    handleEvent(lifecycle::ConfigurationLoaded {}, kStart);
    std::multimap<milliseconds, int> steps;
    steps.emplace(1000ms, 0);
    for (const Arrival &arrival : arrivals)
        steps.emplace(arrival.at, static_cast<int>(arrival.duration.count()));
    std::multimap<milliseconds, int> ends;
    for (milliseconds time(0); time < 60s; time += 50ms) {
        const core::TimePoint now = kStart + time;
        for (; !steps.empty() && steps.begin()->first <= time; steps.erase(steps.begin())) {
            if (const int duration = steps.begin()->second; duration == 0) {
                handleEvent(lifecycle::StopRequested {}, now);
            } else if (node.admit(now)) {
                ++result.refused;
            } else {
                ++openRequests;
                handleEvent(lifecycle::RequestStarted {}, now);
                ends.emplace(time + milliseconds(duration), 0);
            }
        }
        for (; !ends.empty() && ends.begin()->first <= time; ends.erase(ends.begin())) {
            openRequests = std::max(openRequests - 1, 0);
            handleEvent(lifecycle::RequestEnded {}, now);
        }
        handleEvent(lifecycle::TimerFired {}, now);
        if (node.isFinished())
            break;
    }
    result.terminated += node.isFinished() ? openRequests : 0;
    result.isStopped = node.isFinished();
    return result;
}

rc::Gen<std::vector<Arrival>> genArrivals()
{
    return rc::gen::container<std::vector<Arrival>>(
        rc::gen::map(rc::gen::pair(rc::gen::inRange(0, 10900), rc::gen::inRange(1, 40000)),
                     [](const std::pair<int, int> &pair) {
                         return Arrival {milliseconds(pair.first), milliseconds(pair.second)};
                     }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(NodeLifecycleTest)

// Guards against a graceful shutdown that terminates a stream, refuses a request from a caller that
// has cached the address, or never finishes.
BOOST_AUTO_TEST_CASE(shutdownTerminatesAndRefusesNoRequest)
{
    const auto chart = readChart("node");
    const bool passed = rc::check([&] {
        const auto arrivals = *genArrivals();
        const DrainResult result = runDrain(chart, arrivals);
        RC_ASSERT(result.terminated == 0);
        RC_ASSERT(result.refused == 0);
        RC_ASSERT(result.isStopped);
        RC_ASSERT(!result.releasedEarly);
    });
    BOOST_TEST(passed);
}

// Verifies that the check above detects each omitted step of the shutdown.
BOOST_AUTO_TEST_CASE(shutdownWithOmittedStepIsDetected)
{
    const auto chart = readChart("node");
    const std::vector<Arrival> arrivals {{500ms, 20000ms}, {5000ms, 1000ms}};
    const DrainResult shipped = runDrain(chart, arrivals);
    BOOST_TEST(shipped.refused + shipped.terminated == 0);
    // Without waiting until the cached addresses expire.
    BOOST_TEST(
        runDrain(withTransition(
                     chart, "serving", "stopRequested",
                     {"draining", {"withdrawAddress", "startAddressTimer", "refuseNewRequests"}}),
                 arrivals)
            .refused
        == 1);
    // Without waiting for the requests in flight.
    BOOST_TEST(runDrain(withTransition(chart, "withdrawn", "addressLifetimeEnded",
                                       {"stopped", {"refuseNewRequests", "releaseShares"}}),
                        arrivals)
                   .terminated
               == 1);
}

// Guards against an isolated node that continues to serve keys that may have been withdrawn, also
// during shutdown.
BOOST_AUTO_TEST_CASE(isolationEndsStreamsAndRefuses)
{
    NodeLifecycle node(makeNodeBinding(), StopTimes {kAddressLifetime});
    BOOST_TEST((node.admit(kStart)->code == core::ErrorCode::Isolated));
    node.handle(lifecycle::ConfigurationLoaded {}, kStart);
    node.handle(lifecycle::RequestStarted {}, kStart);
    BOOST_TEST((node.handle(lifecycle::FreshnessLost {}, kStart)
                == Actions {NodeChartAction::WithdrawAddress, NodeChartAction::EndStreams,
                            NodeChartAction::RefuseQueued}));
    BOOST_TEST((node.admit(kStart)->verdict == core::Verdict::NotRun));
    BOOST_TEST((node.handle(lifecycle::FreshnessRegained {}, kStart)
                == Actions {NodeChartAction::PublishAddress}));
    BOOST_TEST(!node.admit(kStart).has_value());
    node.handle(lifecycle::StopRequested {}, kStart);
    BOOST_TEST((node.nextTimer() == kStart + kAddressLifetime));
    node.handle(lifecycle::TimerFired {}, kStart + kAddressLifetime);
    BOOST_TEST((node.admit(kStart + kAddressLifetime)->code == core::ErrorCode::Draining));
    BOOST_TEST((node.handle(lifecycle::FreshnessLost {}, kStart + 11s)
                == Actions {NodeChartAction::EndStreams, NodeChartAction::RefuseQueued}));
    BOOST_TEST((node.handle(lifecycle::RequestEnded {}, kStart + 12s)
                == Actions {NodeChartAction::ReleaseShares, NodeChartAction::RemoveNodeRecord}));
    BOOST_TEST(node.isFinished());
}

// Guards against a stopping node whose timer is handled late, or whose stop request waited for the
// processor, and that admits requests after the admission period.
BOOST_AUTO_TEST_CASE(admissionEndsOnTimeWithoutTheTimer)
{
    NodeLifecycle node(makeNodeBinding(), StopTimes {kAddressLifetime});
    node.handle(lifecycle::ConfigurationLoaded {}, kStart);
    node.handle(lifecycle::StopRequested {}, kStart);
    BOOST_TEST(!node.admit(kStart + kAddressLifetime - 1ms).has_value());
    // No event has been handled since the stop request.
    BOOST_REQUIRE(node.admit(kStart + kAddressLifetime).has_value());
    BOOST_TEST((node.admit(kStart + kAddressLifetime)->code == core::ErrorCode::Draining));
    // The configuration of a stopping node may still change.
    node.handle(lifecycle::ConfigurationLoaded {}, kStart + kAddressLifetime);
    BOOST_TEST(node.admit(kStart + kAddressLifetime).has_value());
}

// Guards against requests that are sent to a target shortly before the process terminates, which
// cuts off their answers.
BOOST_AUTO_TEST_CASE(dispatchEndsBeforeTheTermination)
{
    NodeLifecycle node(makeNodeBinding(), StopTimes {2600ms, 5400ms, 7300ms});
    node.handle(lifecycle::ConfigurationLoaded {}, kStart);
    BOOST_TEST(!node.admitDispatch(kStart + 60s).has_value());
    BOOST_TEST((node.terminationTime() == std::nullopt));
    node.handle(lifecycle::RequestStarted {}, kStart);
    node.handle(lifecycle::StopRequested {}, kStart + 1s);
    // A second signal does not prolong the shutdown.
    node.handle(lifecycle::StopRequested {}, kStart + 3s);
    BOOST_TEST(!node.admitDispatch(kStart + 6400ms - 1ms).has_value());
    BOOST_REQUIRE(node.admitDispatch(kStart + 6400ms).has_value());
    BOOST_TEST((node.admitDispatch(kStart + 6400ms)->verdict == core::Verdict::NotRun));
    BOOST_TEST((node.terminationTime() == kStart + 8300ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
