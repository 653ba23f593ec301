#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <numeric>
#include <string>

#include <rapidcheck.h>

#include "ActionLookup.h"
#include "RequestCharts.h"
#include "boragerack/core/SeededRandomSource.h"
#include "boragerack/decisions/AttemptController.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;
using Actions = std::vector<attempt::Action>;

constexpr core::TimePoint kStart {};

AttemptParameters makePlan(SendPolicy policy, bool canResume = false)
{
    AttemptParameters plan;
    plan.request = "r";
    plan.policy = policy;
    plan.canResume = canResume;
    plan.echoesAttempt = true;
    plan.deadline = kStart + 30s;
    return plan;
}

AttemptId id(std::uint32_t number)
{
    return {"r", number};
}

/// Brings the next attempt to the state Sending.
void send(AttemptController &request, const std::string &target, core::TimePoint now = kStart)
{
    request.handle(attempt::Dispatch {{target}}, now);
    const auto actions = request.handle(attempt::Connected {request.current()}, now);
    BOOST_TEST(hasAction<attempt::SendRequest>(actions));
}

void start(AttemptController &request, core::TimePoint now = kStart)
{
    request.handle(attempt::AnswerStarted {request.current(), request.current()}, now);
}

std::vector<std::uint64_t> countUp(std::uint64_t length)
{
    std::vector<std::uint64_t> numbers(length);
    std::iota(numbers.begin(), numbers.end(), 0);
    return numbers;
}

/// Tokens that the caller gets from a stream that breaks at random tokens, up to four times, and
/// whose targets start again up to three tokens too early.
std::vector<std::uint64_t> receive(core::SeededRandomSource &random, std::uint64_t length,
                                   bool skips)
{
    AttemptParameters plan = makePlan(SendPolicy::Repeatable, true);
    plan.maxAttempts = 5;
    AttemptController request(makeAttemptBinding(), plan);
    std::vector<std::uint64_t> received;
    std::uint64_t sentOffset = 0;
    const auto tell = [&](const attempt::Event &event) {
        for (const auto &action : request.handle(event, kStart)) {
            if (const auto *sending = std::get_if<attempt::SendRequest>(&action)) {
                sentOffset = sending->resumeOffset;
            } else if (const auto *part = std::get_if<attempt::ForwardPart>(&action)) {
                const auto &whole = std::get<attempt::AnswerPart>(event);
                for (std::uint64_t i = skips ? part->skip : 0; i < part->skip + part->count; ++i)
                    received.push_back(whole.offset + i);
            }
        }
    };
    while (!request.isFinished()) {
        tell(attempt::Dispatch {{"t"}});
        tell(attempt::Connected {request.current()});
        tell(attempt::AnswerStarted {request.current(), request.current()});
        const bool isLast = request.current().number == plan.maxAttempts;
        auto offset = sentOffset - std::min<std::uint64_t>(sentOffset, random.next() % 4);
        while (offset < length && (isLast || random.next() % 8 != 0)) {
            const auto count = std::min(length - offset, 1 + random.next() % 3);
            tell(attempt::AnswerPart {request.current(), offset, count});
            offset += count;
        }
        if (offset == length)
            tell(attempt::AnswerCompleted {request.current(), length});
        else
            tell(attempt::ConnectionLost {request.current()});
    }
    return received;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AttemptControllerTest)

// Guards against a second run of an order whose connection broke after the send.
BOOST_AUTO_TEST_CASE(sentAtMostOnceRequestIsNotRetried)
{
    AttemptController request(makeAttemptBinding(), makePlan(SendPolicy::AtMostOnce));
    request.handle(attempt::Dispatch {{"a"}}, kStart);
    BOOST_TEST((request.verdict() == core::Verdict::NotRun));
    const auto retry = request.handle(attempt::ConnectionLost {id(1)}, kStart);
    BOOST_TEST(
        (findAction<attempt::ChooseTarget>(retry)->avoid == std::vector<core::TargetId> {{"a"}}));
    send(request, "b");
    const auto end = request.handle(attempt::ConnectionLost {id(2)}, kStart);
    const auto finish = findAction<attempt::Finish>(end);
    BOOST_TEST_REQUIRE(finish.has_value());
    BOOST_TEST((finish->verdict == core::Verdict::MayHaveRun));
    BOOST_TEST((finish->error->verdict == core::Verdict::MayHaveRun));
}

// Guards against retries that forget an earlier send: the verdict must stay MayHaveRun when a later
// target cannot even be connected.
BOOST_AUTO_TEST_CASE(verdictNeverFalls)
{
    AttemptController request(makeAttemptBinding(), makePlan(SendPolicy::Repeatable));
    send(request, "a");
    request.handle(attempt::ConnectionLost {id(1)}, kStart);
    const auto end =
        request.handle(attempt::DispatchFailed {core::ErrorCode::NoReadyReplica, 2s}, kStart);
    const auto finish = findAction<attempt::Finish>(end);
    BOOST_TEST_REQUIRE(finish.has_value());
    BOOST_TEST((finish->verdict == core::Verdict::MayHaveRun));
    BOOST_TEST((finish->error->retryAfter == 2s));
}

// Guards against an answer of an earlier attempt, or of another request on a connection that is
// out of step, reaching the caller.
BOOST_AUTO_TEST_CASE(lateAndCrossedAnswersAreDiscarded)
{
    AttemptController request(makeAttemptBinding(), makePlan(SendPolicy::Repeatable));
    send(request, "a");
    request.handle(attempt::ConnectionLost {id(1)}, kStart);
    for (const bool isSent : {false, true}) {
        if (isSent)
            send(request, "b");
        for (const attempt::Event &late : {attempt::Event(attempt::AnswerStarted {id(1), id(1)}),
                                           attempt::Event(attempt::AnswerPart {id(1), 0, 5}),
                                           attempt::Event(attempt::AnswerCompleted {id(1), 5})}) {
            BOOST_TEST((request.handle(late, kStart) == Actions {attempt::DiscardAnswer {id(1)}}));
        }
    }
    const auto crossed =
        request.handle(attempt::AnswerStarted {id(2), AttemptId {"other", 2}}, kStart);
    BOOST_TEST((crossed.front() == attempt::Action(attempt::DiscardAnswer {{"other", 2}})));
    BOOST_TEST(hasAction<attempt::CloseConnection>(crossed));
    BOOST_TEST(!hasAction<attempt::ForwardHead>(crossed));
    send(request, "c");
    const auto silent = request.handle(attempt::AnswerStarted {id(3), std::nullopt}, kStart);
    BOOST_TEST(!hasAction<attempt::ForwardHead>(silent));
    BOOST_TEST(
        (findAction<attempt::Finish>(silent)->error->code == core::ErrorCode::ProtocolViolation));
}

// Guards against a stream that ends early, skips a token, or is completed with a part missing
// being passed on as a whole answer.
BOOST_AUTO_TEST_CASE(gapOrShortAnswerIsNotSuccess)
{
    for (const attempt::Event &broken : {attempt::Event(attempt::AnswerPart {id(1), 3, 1}),
                                         attempt::Event(attempt::AnswerCompleted {id(1), 3})}) {
        AttemptController request(makeAttemptBinding(), makePlan(SendPolicy::Repeatable));
        send(request, "a");
        start(request);
        request.handle(attempt::AnswerPart {id(1), 0, 2}, kStart);
        const auto finish = findAction<attempt::Finish>(request.handle(broken, kStart));
        BOOST_TEST_REQUIRE(finish.has_value());
        BOOST_TEST((finish->verdict == core::Verdict::MayHaveRun));
    }
}

// Guards against gaps and repetitions after a resume: whatever the points where streams break and
// however far back a target starts again, the caller gets each token once and in order.
BOOST_AUTO_TEST_CASE(resumedStreamHasNoGapAndNoRepetition)
{
    const bool passed = rc::check([](std::uint64_t seed) {
        core::SeededRandomSource random(seed);
        const auto length = random.next() % 40;
        RC_ASSERT(receive(random, length, true) == countUp(length));
    });
    BOOST_TEST(passed);

    // Switched off: the tokens that the caller has already are not left out.
    int wrong = 0;
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        core::SeededRandomSource random(seed);
        wrong += receive(random, 30, false) != countUp(30) ? 1 : 0;
    }
    BOOST_TEST_MESSAGE("wrong streams of 100 without the skip: " << wrong);
    BOOST_TEST(wrong > 0);
}

// Guards against a caller that gets a second head in the middle of its resumed stream, and against
// an at-most-once stream being generated twice.
BOOST_AUTO_TEST_CASE(resumeSendsTheHeadOnce)
{
    AttemptController request(makeAttemptBinding(), makePlan(SendPolicy::Repeatable, true));
    send(request, "a");
    start(request);
    request.handle(attempt::AnswerPart {id(1), 0, 7}, kStart);
    const auto lost = request.handle(attempt::ConnectionLost {id(1)}, kStart + 60s);
    BOOST_TEST(hasAction<attempt::ChooseTarget>(lost));
    BOOST_TEST((request.nextTimer() == kStart + 70s));
    send(request, "b", kStart + 60s);
    BOOST_TEST(request.handle(attempt::AnswerStarted {id(2), id(2)}, kStart + 61s).empty());

    AttemptController once(makeAttemptBinding(), makePlan(SendPolicy::AtMostOnce, true));
    send(once, "a");
    start(once);
    const auto end = once.handle(attempt::ConnectionLost {id(1)}, kStart);
    BOOST_TEST((findAction<attempt::Finish>(end)->verdict == core::Verdict::MayHaveRun));
}

// Guards against a request that is sent, or left without an answer, after its deadline.
BOOST_AUTO_TEST_CASE(deadlineAndCancellationEndEveryWait)
{
    const core::TimePoint late = kStart + 30s - kRefusalMargin;
    for (const bool isCancelled : {false, true}) {
        const attempt::Event end = isCancelled
            ? attempt::Event(attempt::Cancel {core::ErrorCode::Isolated})
            : attempt::Event(attempt::TimerFired {});
        const auto code =
            isCancelled ? core::ErrorCode::Isolated : core::ErrorCode::DeadlineExceeded;
        for (int reached = 0; reached < 3; ++reached) {
            AttemptController request(makeAttemptBinding(), makePlan(SendPolicy::Repeatable));
            if (reached >= 1)
                request.handle(attempt::Dispatch {{"a"}}, kStart);
            if (reached >= 2)
                request.handle(attempt::Connected {id(1)}, kStart);
            BOOST_TEST((request.nextTimer() == late));
            BOOST_TEST(request.handle(attempt::TimerFired {}, late - 1ms).empty());
            const auto actions = request.handle(end, late);
            const auto finish = findAction<attempt::Finish>(actions);
            BOOST_TEST_REQUIRE(finish.has_value());
            BOOST_TEST((finish->error->code == code));
            BOOST_TEST((finish->verdict
                        == (reached == 2 ? core::Verdict::MayHaveRun : core::Verdict::NotRun)));
            BOOST_TEST(hasAction<attempt::CancelOnTarget>(actions) == (reached == 2));
        }
    }
    AttemptController request(makeAttemptBinding(), makePlan(SendPolicy::Repeatable));
    request.handle(attempt::Dispatch {{"a"}}, kStart);
    const auto actions = request.handle(attempt::Connected {id(1)}, late);
    BOOST_TEST(!hasAction<attempt::SendRequest>(actions));
    BOOST_TEST((findAction<attempt::Finish>(actions)->verdict == core::Verdict::NotRun));
}

// Guards against one request crashing a third target.
BOOST_AUTO_TEST_CASE(twoTargetDeathsEndTheRequest)
{
    AttemptParameters plan = makePlan(SendPolicy::Repeatable);
    plan.maxAttempts = 10;
    AttemptController request(makeAttemptBinding(), plan);
    send(request, "a");
    BOOST_TEST(hasAction<attempt::ChooseTarget>(
        request.handle(attempt::ConnectionLost {id(1), true}, kStart)));
    send(request, "b");
    BOOST_TEST(
        hasAction<attempt::Finish>(request.handle(attempt::ConnectionLost {id(2), true}, kStart)));
}

// Guards against an answer being matched to the wrong attempt through a malformed header.
BOOST_AUTO_TEST_CASE(attemptIdSurvivesItsHeaderForm)
{
    BOOST_TEST((parseAttemptId(formatAttemptId({"node-1.7", 12})) == AttemptId {"node-1.7", 12}));
    for (const char *text :
         {"", ".", "r", "r.", ".1", "r.0", "r.x", "r.1x", "r.-1", "r.99999999999"})
        BOOST_TEST(!parseAttemptId(text).has_value(), text);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
