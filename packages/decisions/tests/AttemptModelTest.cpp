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

/// First property violated by either send policy; empty if all hold.
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
        if (const auto result = exploreAttemptModel(settings); !result.violation.empty())
            return result.violation;
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(AttemptModelTest)

// Guards against an order of target, connection and caller events in which a sent request ends with
// NotRun, a request has no outcome or two, or a wrong answer is forwarded.
BOOST_AUTO_TEST_CASE(verdictHoldsInEveryReachableState)
{
    for (const SendPolicy policy : {SendPolicy::AtMostOnce, SendPolicy::Repeatable}) {
        for (const bool canResume : {false, true}) {
            for (const std::uint32_t maxAttempts : {1U, 2U, 3U}) {
                ModelSettings settings = makeSettings(policy, canResume);
                settings.maxAttempts = maxAttempts;
                const ModelResult result = exploreAttemptModel(settings);
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

// Guards against a transition that sets the verdict after the send action: a task that performs the
// actions one by one would then send with the verdict NotRun.
BOOST_AUTO_TEST_CASE(mayHaveRunIsSetBeforeTheSendInEveryTransition)
{
    for (const auto &[name, state] : readChart("attempt").states) {
        for (const auto &[event, transition] : state.transitions) {
            const auto &actions = transition.actions;
            const auto mark = std::ranges::find(actions, "markMayHaveRun");
            BOOST_TEST((mark <= std::ranges::find(actions, "sendRequest")), name << " " << event);
            const bool sends = std::ranges::find(actions, "sendRequest") != actions.end();
            BOOST_TEST((mark != actions.end()) == sends, name << " " << event);
        }
    }
}

// The exploration must detect each fault; otherwise its pass on the shipped charts proves nothing.
BOOST_AUTO_TEST_CASE(explorationDetectsEachMissingMechanism)
{
    const charts::StateChart attempt = readChart("attempt");
    const charts::StateChart connection = readChart("connection");
    BOOST_TEST(findViolation(attempt, connection) == "");

    // The verdict is set with the answer instead of before the send.
    charts::StateChart late =
        withTransition(attempt, "connecting", "connected", {"sending", {"sendRequest"}});
    late = withTransition(late, "sending", "answerStarted",
                          {"streaming", {"markMayHaveRun", "forwardHead"}});
    BOOST_TEST(findViolation(late, connection) == "sent with the verdict NotRun");

    // Answers are not matched to their attempt.
    BOOST_TEST(findViolation(attempt, connection, true)
               == "a part of an earlier attempt was forwarded");

    // Answers to other requests on an out-of-sync connection are accepted.
    BOOST_TEST(findViolation(attempt, connection, false, true)
               == "an answer to another request was forwarded");

    // A lost connection returns the request to the queue without a check that a retry is allowed.
    BOOST_TEST(findViolation(withTransition(attempt, "sending", "connectionLost",
                                            {"queued", {"closeConnection", "chooseTarget"}}),
                             connection)
               == "an at-most-once request was sent twice");

    // A cancelled request reports no outcome.
    BOOST_TEST(findViolation(withTransition(attempt, "streaming", "cancel",
                                            {"failed", {"cancelOnTarget", "closeConnection"}}),
                             connection)
               == "an end state without exactly one outcome");

    // A connection that is replaced does not fail its requests.
    BOOST_TEST(findViolation(attempt,
                             withTransition(connection, "probing", "probeAnswered",
                                            {"closed", {"closeConnection", "adoptProbe"}}))
               == "the request waits for a closed connection");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
