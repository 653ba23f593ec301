#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "AttemptModel.h"
#include "RequestCharts.h"

namespace boragerack::decisions::testing {

namespace {

ModelSettings makeSettings(SendPolicy policy, bool canResume)
{
    ModelSettings settings;
    settings.attemptChart = makeAttemptBinding();
    settings.connectionChart = makeConnectionBinding();
    settings.policy = policy;
    settings.canResume = canResume;
    return settings;
}

/// The first broken property over both kinds of request.
std::string findViolation(const charts::StateChart &attemptChart,
                          const charts::StateChart &connectionChart,
                          bool ignoresAttemptNumber = false, bool ignoresEcho = false)
{
    for (const SendPolicy policy : {SendPolicy::AtMostOnce, SendPolicy::Repeatable}) {
        ModelSettings settings = makeSettings(policy, true);
        settings.attemptChart = makeAttemptBinding(attemptChart);
        settings.connectionChart = makeConnectionBinding(connectionChart);
        settings.ignoresAttemptNumber = ignoresAttemptNumber;
        settings.ignoresEcho = ignoresEcho;
        if (const auto result = walkAttemptModel(settings); !result.violation.empty())
            return result.violation;
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(AttemptModelTest)

// Guards against any order of events, of those that targets, connections and callers can cause,
// that ends a sent request with NotRun, gives no or two outcomes, or forwards a wrong answer.
BOOST_AUTO_TEST_CASE(everyReachablePairKeepsTheVerdictTrue)
{
    for (const SendPolicy policy : {SendPolicy::AtMostOnce, SendPolicy::Repeatable}) {
        for (const bool canResume : {false, true}) {
            for (const std::uint32_t maxAttempts : {1U, 2U, 3U}) {
                ModelSettings settings = makeSettings(policy, canResume);
                settings.maxAttempts = maxAttempts;
                const ModelResult result = walkAttemptModel(settings);
                BOOST_TEST(result.violation == "");
                BOOST_TEST(result.endStates > 0U);
                BOOST_TEST_MESSAGE(
                    (policy == SendPolicy::AtMostOnce ? "at most once" : "repeatable")
                    << (canResume ? ", resumable" : "") << ", " << maxAttempts
                    << " attempts: " << result.states << " states, " << result.steps << " steps, "
                    << result.pairs.size() << " pairs, " << result.endStates << " end states");
            }
        }
    }
}

// Guards against the verdict being raised in the step of the send but behind it: the batch of
// actions would be right, but not a task that performs them one by one.
BOOST_AUTO_TEST_CASE(verdictIsRaisedBeforeTheSendInEveryTransition)
{
    for (const auto &[name, state] : readChart("attempt").states) {
        for (const auto &[event, transition] : state.transitions) {
            const auto &actions = transition.actions;
            const auto raise = std::ranges::find(actions, "raiseMayHaveRun");
            BOOST_TEST((raise <= std::ranges::find(actions, "sendRequest")), name << " " << event);
            const bool sends = std::ranges::find(actions, "sendRequest") != actions.end();
            BOOST_TEST((raise != actions.end()) == sends, name << " " << event);
        }
    }
}

// The walk must find each fault; otherwise it proves nothing about the shipped charts.
BOOST_AUTO_TEST_CASE(walkFailsWithoutEachMechanism)
{
    const charts::StateChart attempt = readChart("attempt");
    const charts::StateChart connection = readChart("connection");
    BOOST_TEST(findViolation(attempt, connection) == "");

    // The verdict rises with the answer instead of before the send.
    charts::StateChart late =
        withTransition(attempt, "connecting", "connected", {"sending", {"sendRequest"}});
    late = withTransition(late, "sending", "answerStarted",
                          {"streaming", {"raiseMayHaveRun", "forwardHead"}});
    BOOST_TEST(findViolation(late, connection) == "sent with the verdict NotRun");

    // Answers are not matched with their attempt.
    BOOST_TEST(findViolation(attempt, connection, true)
               == "a part of an earlier attempt was forwarded");

    // Answers of other requests on a connection that is out of step are taken.
    BOOST_TEST(findViolation(attempt, connection, false, true) == "a crossed answer was forwarded");

    // A lost connection sends a request back to the queue without asking whether it may be retried.
    BOOST_TEST(findViolation(withTransition(attempt, "sending", "connectionLost",
                                            {"queued", {"closeConnection", "chooseTarget"}}),
                             connection)
               == "an at-most-once request was sent twice");

    // A cancelled request gives no outcome.
    BOOST_TEST(findViolation(withTransition(attempt, "streaming", "cancel",
                                            {"failed", {"cancelOnTarget", "closeConnection"}}),
                             connection)
               == "an end state without exactly one outcome");

    // A connection that is replaced does not tell its requests.
    BOOST_TEST(findViolation(attempt,
                             withTransition(connection, "probing", "probeAnswered",
                                            {"closed", {"closeConnection", "adoptProbe"}}))
               == "the request waits for a closed connection");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
