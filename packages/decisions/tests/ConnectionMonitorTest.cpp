#include <boost/test/unit_test.hpp>

#include "RequestCharts.h"
#include "boragerack/decisions/ConnectionMonitor.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;
using Actions = std::vector<connection::Action>;

constexpr core::TimePoint kStart {};
const AttemptId kAttempt {"r", 1};

/// Monitor of an open connection that has carried one request since kStart.
ConnectionMonitor makeBusyMonitor(const charts::StateChart &chart = readChart("connection"))
{
    ConnectionMonitor monitor(makeConnectionBinding(chart), {}, kStart);
    monitor.handle(connection::Assigned {kAttempt}, kStart);
    monitor.handle(connection::Opened {}, kStart);
    return monitor;
}

/// Actions of the monitor when nothing arrives for 10 s and each probe gets `probeAnswer`.
Actions runWithoutProgress(ConnectionMonitor monitor, const connection::Event &probeAnswer)
{
    Actions all;
    for (core::TimePoint now = kStart; now < kStart + 10s && !monitor.isFinished(); now += 100ms) {
        for (const auto &action : monitor.handle(connection::TimerFired {}, now)) {
            all.push_back(action);
            if (std::holds_alternative<connection::OpenProbe>(action)) {
                const auto answer = monitor.handle(probeAnswer, now);
                all.insert(all.end(), answer.begin(), answer.end());
            }
        }
    }
    return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConnectionMonitorTest)

// Guards against requests that wait forever on a connection without progress although a new
// connection would work.
BOOST_AUTO_TEST_CASE(inactiveConnectionIsReplacedAndItsRequestFails)
{
    ConnectionMonitor monitor = makeBusyMonitor();
    BOOST_TEST((monitor.nextTimer() == kStart + 2s));
    BOOST_TEST(monitor.handle(connection::TimerFired {}, kStart + 1999ms).empty());
    BOOST_TEST((monitor.handle(connection::TimerFired {}, kStart + 2s)
                == Actions {connection::OpenProbe {}}));
    BOOST_TEST(!monitor.canAssign());
    BOOST_TEST((monitor.handle(connection::ProbeAnswered {}, kStart + 2001ms)
                == Actions {connection::CloseConnection {}, connection::AdoptProbe {},
                            connection::FailRequest {kAttempt, false}}));

    // With the transition from inactivity to a probe disabled, nothing happens.
    const auto chart =
        withTransition(readChart("connection"), "busy", "inactivityTimeout", {"busy", {}});
    BOOST_TEST(runWithoutProgress(makeBusyMonitor(chart), connection::ProbeAnswered {}).empty());
    BOOST_TEST(!runWithoutProgress(makeBusyMonitor(), connection::ProbeAnswered {}).empty());
}

// Guards against closing the connection to a slow target that makes progress or is still computing
// its first token.
BOOST_AUTO_TEST_CASE(progressAndWorkKeepTheConnection)
{
    ConnectionMonitor monitor = makeBusyMonitor();
    for (auto now = kStart; now < kStart + 20s; now += 1900ms) {
        BOOST_TEST(monitor.handle(connection::TimerFired {}, now).empty());
        monitor.handle(connection::Progress {}, now);
    }
    monitor = makeBusyMonitor();
    monitor.handle(connection::TimerFired {}, kStart + 2s);
    BOOST_TEST((monitor.handle(connection::Progress {}, kStart + 2100ms)
                == Actions {connection::CancelProbe {}}));
    BOOST_TEST((monitor.state() == ConnectionState::Busy));

    // A target that reports work gets 10 s; after that the connection is treated as lost.
    const Actions actions = runWithoutProgress(makeBusyMonitor(), connection::ProbeAnswered {true});
    BOOST_TEST(std::ranges::count(actions, connection::Action(connection::OpenProbe {})) == 4);
    BOOST_TEST(std::ranges::count(actions, connection::Action(connection::AdoptProbe {})) == 0);
    monitor = makeBusyMonitor();
    for (auto now = kStart + 2s; now <= kStart + 10s; now += 2s) {
        monitor.handle(connection::TimerFired {}, now);
        monitor.handle(connection::ProbeAnswered {true}, now);
    }
    BOOST_TEST(monitor.isFinished());
}

// Guards against a target crash that is treated as a lost connection, so that the request that
// caused it is sent to further targets.
BOOST_AUTO_TEST_CASE(targetCrashIsReportedWithItsRequests)
{
    ConnectionMonitor monitor = makeBusyMonitor();
    BOOST_TEST((monitor.handle(connection::Lost {}, kStart) == Actions {connection::OpenProbe {}}));
    BOOST_TEST((monitor.handle(connection::ProbeRefused {}, kStart)
                == Actions {connection::ReportTargetCrash {{kAttempt}},
                            connection::FailRequest {kAttempt, true}}));

    monitor = makeBusyMonitor();
    monitor.handle(connection::Lost {}, kStart);
    BOOST_TEST((monitor.handle(connection::ProbeAnswered {}, kStart)
                == Actions {connection::AdoptProbe {}, connection::FailRequest {kAttempt, false}}));

    // The caller disconnects before the probe has ended; the crash still counts.
    monitor = makeBusyMonitor();
    monitor.handle(connection::Lost {}, kStart);
    monitor.handle(connection::RequestFinished {kAttempt}, kStart);
    BOOST_TEST((monitor.handle(connection::ProbeRefused {}, kStart).front()
                == connection::Action(connection::ReportTargetCrash {{kAttempt}})));
}

// Guards against a crash that goes unnoticed because the ending process still accepted the probe,
// and against a probe that is repeated without end.
BOOST_AUTO_TEST_CASE(lostProbeIsRepeatedWithinItsTimeLimit)
{
    ConnectionMonitor monitor = makeBusyMonitor();
    monitor.handle(connection::Lost {}, kStart);
    BOOST_TEST((monitor.handle(connection::ProbeLost {}, kStart + 100ms)
                == Actions {connection::OpenProbe {}}));
    BOOST_TEST((monitor.handle(connection::ProbeRefused {}, kStart + 200ms)
                == Actions {connection::ReportTargetCrash {{kAttempt}},
                            connection::FailRequest {kAttempt, true}}));

    for (const bool isLost : {true, false}) {
        monitor = makeBusyMonitor();
        if (isLost)
            monitor.handle(connection::Lost {}, kStart + 2s);
        else
            monitor.handle(connection::TimerFired {}, kStart + 2s);
        BOOST_TEST((monitor.handle(connection::ProbeLost {}, kStart + 2900ms)
                    == Actions {connection::OpenProbe {}}));
        BOOST_TEST((monitor.nextTimer() == kStart + 3s));
        const Actions actions = monitor.handle(connection::TimerFired {}, kStart + 3s);
        BOOST_TEST(
            (actions.back() == connection::Action(connection::FailRequest {kAttempt, false})));
        BOOST_TEST(monitor.isFinished());
    }
}

// Guards against sending requests to a target that answers on no connection.
BOOST_AUTO_TEST_CASE(unreachableTargetIsReported)
{
    ConnectionMonitor monitor = makeBusyMonitor();
    monitor.handle(connection::TimerFired {}, kStart + 2s);
    BOOST_TEST((monitor.handle(connection::TimerFired {}, kStart + 3s)
                == Actions {connection::CancelProbe {}, connection::CloseConnection {},
                            connection::ReportUnreachableTarget {},
                            connection::FailRequest {kAttempt, false}}));

    ConnectionMonitor opening(makeConnectionBinding(), {}, kStart);
    opening.handle(connection::Assigned {kAttempt}, kStart);
    // The report precedes the failure, because the request may choose its next target on failure.
    BOOST_TEST((opening.handle(connection::TimerFired {}, kStart + 1s)
                == Actions {connection::CloseConnection {}, connection::ReportUnreachableTarget {},
                            connection::FailRequest {kAttempt, false}}));
}

// Guards against sending a request on a connection that may have failed while it was idle.
BOOST_AUTO_TEST_CASE(unusedConnectionIsClosed)
{
    ConnectionMonitor monitor = makeBusyMonitor();
    monitor.handle(connection::RequestFinished {kAttempt}, kStart + 1s);
    BOOST_TEST(monitor.canAssign());
    BOOST_TEST((monitor.nextTimer() == kStart + 31s));
    BOOST_TEST((monitor.handle(connection::TimerFired {}, kStart + 31s)
                == Actions {connection::CloseConnection {}}));
    BOOST_TEST((monitor.handle(connection::Assigned {kAttempt}, kStart + 32s)
                == Actions {connection::FailRequest {kAttempt, false}}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
