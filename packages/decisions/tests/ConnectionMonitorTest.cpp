#include <boost/test/unit_test.hpp>

#include "RequestCharts.h"
#include "boragerack/decisions/ConnectionMonitor.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;
using Actions = std::vector<connection::Action>;

constexpr core::TimePoint kStart {};
const AttemptId kAttempt {"r", 1};

/// A connection that carries one request since kStart.
ConnectionMonitor makeBusy(const charts::StateChart &chart = readChart("connection"))
{
    ConnectionMonitor monitor(makeConnectionBinding(chart), {}, kStart);
    monitor.handle(connection::Assigned {kAttempt}, kStart);
    monitor.handle(connection::Opened {}, kStart);
    return monitor;
}

/// What the connection asks for when nothing arrives for 10 s and each probe gets the answer.
Actions staySilent(ConnectionMonitor monitor, const connection::Event &probeAnswer)
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

// Guards against requests that wait for ever on a connection that went silent while new ones work.
BOOST_AUTO_TEST_CASE(silentConnectionIsReplacedAndItsRequestTold)
{
    ConnectionMonitor monitor = makeBusy();
    BOOST_TEST((monitor.nextTimer() == kStart + 2s));
    BOOST_TEST(monitor.handle(connection::TimerFired {}, kStart + 1999ms).empty());
    BOOST_TEST((monitor.handle(connection::TimerFired {}, kStart + 2s)
                == Actions {connection::OpenProbe {}}));
    BOOST_TEST(!monitor.canAssign());
    BOOST_TEST((monitor.handle(connection::ProbeAnswered {}, kStart + 2001ms)
                == Actions {connection::CloseConnection {}, connection::AdoptProbe {},
                            connection::FailRequest {kAttempt, false}}));

    // Switched off: no chart transition on silence to a probe.
    const auto chart = withTransition(readChart("connection"), "busy", "silent", {"busy", {}});
    BOOST_TEST(staySilent(makeBusy(chart), connection::ProbeAnswered {}).empty());
    BOOST_TEST(!staySilent(makeBusy(), connection::ProbeAnswered {}).empty());
}

// Guards against cutting a slow target that makes progress or still computes its first token.
BOOST_AUTO_TEST_CASE(progressAndWorkKeepTheConnection)
{
    ConnectionMonitor monitor = makeBusy();
    for (auto now = kStart; now < kStart + 20s; now += 1900ms) {
        BOOST_TEST(monitor.handle(connection::TimerFired {}, now).empty());
        monitor.handle(connection::Progress {}, now);
    }
    monitor = makeBusy();
    monitor.handle(connection::TimerFired {}, kStart + 2s);
    BOOST_TEST((monitor.handle(connection::Progress {}, kStart + 2100ms)
                == Actions {connection::CancelProbe {}}));
    BOOST_TEST((monitor.state() == ConnectionState::Busy));

    // A target at work gets 10 s; after that the connection counts as silent after all.
    const Actions actions = staySilent(makeBusy(), connection::ProbeAnswered {true});
    BOOST_TEST(std::ranges::count(actions, connection::Action(connection::OpenProbe {})) == 4);
    BOOST_TEST(std::ranges::count(actions, connection::Action(connection::AdoptProbe {})) == 0);
    monitor = makeBusy();
    for (auto now = kStart + 2s; now <= kStart + 10s; now += 2s) {
        monitor.handle(connection::TimerFired {}, now);
        monitor.handle(connection::ProbeAnswered {true}, now);
    }
    BOOST_TEST(monitor.isFinished());
}

// Guards against a crash that is taken for a broken connection, so that the poison request goes on.
BOOST_AUTO_TEST_CASE(deathOfTheTargetIsReportedWithItsRequests)
{
    ConnectionMonitor monitor = makeBusy();
    BOOST_TEST((monitor.handle(connection::Lost {}, kStart) == Actions {connection::OpenProbe {}}));
    BOOST_TEST((monitor.handle(connection::ProbeRefused {}, kStart)
                == Actions {connection::ReportTargetCrash {{kAttempt}},
                            connection::FailRequest {kAttempt, true}}));

    monitor = makeBusy();
    monitor.handle(connection::Lost {}, kStart);
    BOOST_TEST((monitor.handle(connection::ProbeAnswered {}, kStart)
                == Actions {connection::AdoptProbe {}, connection::FailRequest {kAttempt, false}}));

    // The caller gives up before the probe has ended; the death still counts.
    monitor = makeBusy();
    monitor.handle(connection::Lost {}, kStart);
    monitor.handle(connection::RequestFinished {kAttempt}, kStart);
    BOOST_TEST((monitor.handle(connection::ProbeRefused {}, kStart).front()
                == connection::Action(connection::ReportTargetCrash {{kAttempt}})));
}

// Guards against new work for a target that answers on no connection.
BOOST_AUTO_TEST_CASE(silentTargetIsReported)
{
    ConnectionMonitor monitor = makeBusy();
    monitor.handle(connection::TimerFired {}, kStart + 2s);
    BOOST_TEST((monitor.handle(connection::TimerFired {}, kStart + 3s)
                == Actions {connection::CancelProbe {}, connection::CloseConnection {},
                            connection::ReportUnreachableTarget {},
                            connection::FailRequest {kAttempt, false}}));

    ConnectionMonitor opening(makeConnectionBinding(), {}, kStart);
    opening.handle(connection::Assigned {kAttempt}, kStart);
    // The report comes first: the request may choose its next target while it is told.
    BOOST_TEST((opening.handle(connection::TimerFired {}, kStart + 1s)
                == Actions {connection::CloseConnection {}, connection::ReportUnreachableTarget {},
                            connection::FailRequest {kAttempt, false}}));
}

// Guards against a request sent on a connection that may have gone silent while it was unused.
BOOST_AUTO_TEST_CASE(unusedConnectionIsClosed)
{
    ConnectionMonitor monitor = makeBusy();
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
