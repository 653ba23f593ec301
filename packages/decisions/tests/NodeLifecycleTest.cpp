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
    int cut = 0;
    bool isStopped = false;
    /// The node released its shares while a request was open.
    bool releasedEarly = false;
};

/// A node that is asked to stop at 1 s. Callers hold its address and keep coming for its lifetime.
DrainResult runDrain(const charts::StateChart &chart, const std::vector<Arrival> &arrivals)
{
    NodeLifecycle node(makeNodeBinding(chart), kAddressLifetime);
    DrainResult result;
    int open = 0;
    const auto tell = [&](const lifecycle::Event &event, core::TimePoint now) {
        for (const NodeChartAction step : node.handle(event, now)) {
            if (step == NodeChartAction::EndStreams)
                result.cut += std::exchange(open, 0);
            if (step == NodeChartAction::ReleaseShares && open > 0)
                result.releasedEarly = true;
        }
    };
    tell(lifecycle::ConfigurationLoaded {}, kStart);
    std::multimap<milliseconds, int> steps;
    steps.emplace(1000ms, 0);
    for (const Arrival &arrival : arrivals)
        steps.emplace(arrival.at, static_cast<int>(arrival.duration.count()));
    std::multimap<milliseconds, int> ends;
    for (milliseconds time(0); time < 60s; time += 50ms) {
        const core::TimePoint now = kStart + time;
        for (; !steps.empty() && steps.begin()->first <= time; steps.erase(steps.begin())) {
            if (const int duration = steps.begin()->second; duration == 0) {
                tell(lifecycle::StopRequested {}, now);
            } else if (node.admit()) {
                ++result.refused;
            } else {
                ++open;
                tell(lifecycle::RequestStarted {}, now);
                ends.emplace(time + milliseconds(duration), 0);
            }
        }
        for (; !ends.empty() && ends.begin()->first <= time; ends.erase(ends.begin())) {
            open = std::max(open - 1, 0);
            tell(lifecycle::RequestEnded {}, now);
        }
        tell(lifecycle::TimerFired {}, now);
        if (node.isFinished())
            break;
    }
    result.cut += node.isFinished() ? open : 0;
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

// Guards against a planned stop that cuts a stream, refuses a caller that holds the address, or
// never ends.
BOOST_AUTO_TEST_CASE(stopCutsAndRefusesNoRequest)
{
    const auto chart = readChart("node");
    const bool passed = rc::check([&] {
        const auto arrivals = *genArrivals();
        const DrainResult result = runDrain(chart, arrivals);
        RC_ASSERT(result.cut == 0);
        RC_ASSERT(result.refused == 0);
        RC_ASSERT(result.isStopped);
        RC_ASSERT(!result.releasedEarly);
    });
    BOOST_TEST(passed);
}

// The same stop must hurt requests when a step is left out.
BOOST_AUTO_TEST_CASE(stopFailsWithoutEachStep)
{
    const auto chart = readChart("node");
    const std::vector<Arrival> arrivals {{500ms, 20000ms}, {5000ms, 1000ms}};
    const DrainResult shipped = runDrain(chart, arrivals);
    BOOST_TEST(shipped.refused + shipped.cut == 0);
    // Without waiting for the lifetime of the addresses.
    BOOST_TEST(
        runDrain(withTransition(
                     chart, "serving", "stopRequested",
                     {"finishing", {"withdrawAddress", "startAddressTimer", "refuseNewRequests"}}),
                 arrivals)
            .refused
        == 1);
    // Without waiting for the requests.
    BOOST_TEST(runDrain(withTransition(chart, "withdrawn", "addressLifetimeEnded",
                                       {"stopped", {"refuseNewRequests", "releaseShares"}}),
                        arrivals)
                   .cut
               == 1);
}

// Guards against an isolated node that goes on with keys that may have been withdrawn, also while
// it stops.
BOOST_AUTO_TEST_CASE(isolationEndsStreamsAndRefuses)
{
    NodeLifecycle node(makeNodeBinding(), kAddressLifetime);
    BOOST_TEST((node.admit()->code == core::ErrorCode::Isolated));
    node.handle(lifecycle::ConfigurationLoaded {}, kStart);
    node.handle(lifecycle::RequestStarted {}, kStart);
    BOOST_TEST((node.handle(lifecycle::FreshnessLost {}, kStart)
                == Actions {NodeChartAction::WithdrawAddress, NodeChartAction::EndStreams,
                            NodeChartAction::RefuseQueued}));
    BOOST_TEST((node.admit()->verdict == core::Verdict::NotRun));
    BOOST_TEST((node.handle(lifecycle::FreshnessRegained {}, kStart)
                == Actions {NodeChartAction::PublishAddress}));
    BOOST_TEST(!node.admit().has_value());
    node.handle(lifecycle::StopRequested {}, kStart);
    BOOST_TEST((node.nextTimer() == kStart + kAddressLifetime));
    node.handle(lifecycle::TimerFired {}, kStart + kAddressLifetime);
    BOOST_TEST((node.admit()->code == core::ErrorCode::Draining));
    BOOST_TEST((node.handle(lifecycle::FreshnessLost {}, kStart + 11s)
                == Actions {NodeChartAction::EndStreams, NodeChartAction::RefuseQueued}));
    BOOST_TEST((node.handle(lifecycle::RequestEnded {}, kStart + 12s)
                == Actions {NodeChartAction::ReleaseShares, NodeChartAction::RemoveNodeRecord}));
    BOOST_TEST(node.isFinished());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
