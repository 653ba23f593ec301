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

AttemptParameters makeParameters(SendPolicy policy, bool canResume = false)
{
    AttemptParameters parameters;
    parameters.request = "r";
    parameters.policy = policy;
    parameters.canResume = canResume;
    parameters.echoesAttempt = true;
    parameters.deadline = kStart + 30s;
    return parameters;
}

AttemptId makeId(std::uint32_t number)
{
    return {"r", number};
}

/// Advances the next attempt to the state Sending.
void send(AttemptController &request, const std::string &target, core::TimePoint now = kStart)
{
    request.handle(attempt::Dispatch {{target}}, now);
    const auto actions = request.handle(attempt::Connected {request.current()}, now);
    BOOST_TEST(hasAction<attempt::SendRequest>(actions));
}

void startAnswer(AttemptController &request, core::TimePoint now = kStart)
{
    request.handle(attempt::AnswerStarted {request.current(), request.current()}, now);
}

std::vector<std::uint64_t> countUp(std::uint64_t length)
{
    std::vector<std::uint64_t> numbers(length);
    std::iota(numbers.begin(), numbers.end(), 0);
    return numbers;
}

/// Tokens that the caller receives from a stream that is interrupted at random tokens, up to four
/// times, and whose targets resume up to three tokens too early.
std::vector<std::uint64_t> receive(core::SeededRandomSource &random, std::uint64_t length,
                                   bool skips)
{
    AttemptParameters parameters = makeParameters(SendPolicy::Repeatable, true);
    parameters.maxAttempts = 5;
    AttemptController request(makeAttemptBinding(), parameters);
    std::vector<std::uint64_t> received;
    std::uint64_t sentOffset = 0;
    const auto deliver = [&](const attempt::Event &event) {
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
        deliver(attempt::Dispatch {{"t"}});
        deliver(attempt::Connected {request.current()});
        deliver(attempt::AnswerStarted {request.current(), request.current()});
        const bool isLast = request.current().number == parameters.maxAttempts;
        auto offset = sentOffset - std::min<std::uint64_t>(sentOffset, random.next() % 4);
        while (offset < length && (isLast || random.next() % 8 != 0)) {
            const auto count = std::min(length - offset, 1 + random.next() % 3);
            deliver(attempt::AnswerPart {request.current(), offset, count});
            offset += count;
        }
        if (offset == length)
            deliver(attempt::AnswerCompleted {request.current(), length});
        else
            deliver(attempt::ConnectionLost {request.current()});
    }
    return received;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AttemptControllerTest)

// Guards against a second run of an at-most-once request whose connection was lost after the send.
BOOST_AUTO_TEST_CASE(sentAtMostOnceRequestIsNotRetried)
{
    AttemptController request(makeAttemptBinding(), makeParameters(SendPolicy::AtMostOnce));
    request.handle(attempt::Dispatch {{"a"}}, kStart);
    BOOST_TEST((request.verdict() == core::Verdict::NotRun));
    const auto retry = request.handle(attempt::ConnectionLost {makeId(1)}, kStart);
    BOOST_TEST(
        (findAction<attempt::ChooseTarget>(retry)->avoid == std::vector<core::TargetId> {{"a"}}));
    send(request, "b");
    const auto end = request.handle(attempt::ConnectionLost {makeId(2)}, kStart);
    const auto finish = findAction<attempt::Finish>(end);
    BOOST_TEST_REQUIRE(finish.has_value());
    BOOST_TEST((finish->verdict == core::Verdict::MayHaveRun));
    BOOST_TEST((finish->error->verdict == core::Verdict::MayHaveRun));
}

// Guards against retries that disregard an earlier send: the verdict must stay MayHaveRun when no
// later target can be reached.
BOOST_AUTO_TEST_CASE(verdictNeverDecreases)
{
    AttemptController request(makeAttemptBinding(), makeParameters(SendPolicy::Repeatable));
    send(request, "a");
    request.handle(attempt::ConnectionLost {makeId(1)}, kStart);
    const auto end =
        request.handle(attempt::DispatchFailed {core::ErrorCode::NoReadyReplica, 2s}, kStart);
    const auto finish = findAction<attempt::Finish>(end);
    BOOST_TEST_REQUIRE(finish.has_value());
    BOOST_TEST((finish->verdict == core::Verdict::MayHaveRun));
    BOOST_TEST((finish->error->retryAfter == 2s));
}

// Guards against forwarding an answer to an earlier attempt, or to another request on an
// out-of-sync connection.
BOOST_AUTO_TEST_CASE(staleAndMismatchedAnswersAreDiscarded)
{
    AttemptController request(makeAttemptBinding(), makeParameters(SendPolicy::Repeatable));
    send(request, "a");
    request.handle(attempt::ConnectionLost {makeId(1)}, kStart);
    for (const bool isSent : {false, true}) {
        if (isSent)
            send(request, "b");
        for (const attempt::Event &late :
             {attempt::Event(attempt::AnswerStarted {makeId(1), makeId(1)}),
              attempt::Event(attempt::AnswerPart {makeId(1), 0, 5}),
              attempt::Event(attempt::AnswerCompleted {makeId(1), 5})}) {
            BOOST_TEST(
                (request.handle(late, kStart) == Actions {attempt::DiscardAnswer {makeId(1)}}));
        }
    }
    const auto mismatched =
        request.handle(attempt::AnswerStarted {makeId(2), AttemptId {"other", 2}}, kStart);
    BOOST_TEST((mismatched.front() == attempt::Action(attempt::DiscardAnswer {{"other", 2}})));
    BOOST_TEST(hasAction<attempt::CloseConnection>(mismatched));
    BOOST_TEST(!hasAction<attempt::ForwardHead>(mismatched));
    send(request, "c");
    const auto unechoed = request.handle(attempt::AnswerStarted {makeId(3), std::nullopt}, kStart);
    BOOST_TEST(!hasAction<attempt::ForwardHead>(unechoed));
    BOOST_TEST(
        (findAction<attempt::Finish>(unechoed)->error->code == core::ErrorCode::ProtocolViolation));
}

// Guards against forwarding a stream that ends early, skips a token, or is completed with a part
// missing as a whole answer.
BOOST_AUTO_TEST_CASE(gapOrShortAnswerIsNotSuccess)
{
    for (const attempt::Event &broken : {attempt::Event(attempt::AnswerPart {makeId(1), 3, 1}),
                                         attempt::Event(attempt::AnswerCompleted {makeId(1), 3})}) {
        AttemptController request(makeAttemptBinding(), makeParameters(SendPolicy::Repeatable));
        send(request, "a");
        startAnswer(request);
        request.handle(attempt::AnswerPart {makeId(1), 0, 2}, kStart);
        const auto finish = findAction<attempt::Finish>(request.handle(broken, kStart));
        BOOST_TEST_REQUIRE(finish.has_value());
        BOOST_TEST((finish->verdict == core::Verdict::MayHaveRun));
    }
}

// Guards against gaps and repetitions after a resume: wherever the stream is interrupted and up to
// three tokens too early that a target resumes, the caller receives each token once and in order.
BOOST_AUTO_TEST_CASE(resumedStreamHasNoGapAndNoRepetition)
{
    const bool passed = rc::check([](std::uint64_t seed) {
        core::SeededRandomSource random(seed);
        const auto length = random.next() % 40;
        RC_ASSERT(receive(random, length, true) == countUp(length));
    });
    BOOST_TEST(passed);

    // With the skip disabled, tokens that the caller has already received are repeated.
    int wrong = 0;
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        core::SeededRandomSource random(seed);
        wrong += receive(random, 30, false) != countUp(30) ? 1 : 0;
    }
    BOOST_TEST_MESSAGE("wrong streams of 100 without the skip: " << wrong);
    BOOST_TEST(wrong > 0);
}

// Guards against sending a second head within a resumed stream, and against generating an
// at-most-once stream twice.
BOOST_AUTO_TEST_CASE(resumeSendsTheHeadOnce)
{
    AttemptController request(makeAttemptBinding(), makeParameters(SendPolicy::Repeatable, true));
    send(request, "a");
    startAnswer(request);
    request.handle(attempt::AnswerPart {makeId(1), 0, 7}, kStart);
    const auto lost = request.handle(attempt::ConnectionLost {makeId(1)}, kStart + 60s);
    BOOST_TEST(hasAction<attempt::ChooseTarget>(lost));
    BOOST_TEST((request.nextTimer() == kStart + 70s));
    send(request, "b", kStart + 60s);
    BOOST_TEST(request.handle(attempt::AnswerStarted {makeId(2), makeId(2)}, kStart + 61s).empty());

    AttemptController once(makeAttemptBinding(), makeParameters(SendPolicy::AtMostOnce, true));
    send(once, "a");
    startAnswer(once);
    const auto end = once.handle(attempt::ConnectionLost {makeId(1)}, kStart);
    BOOST_TEST((findAction<attempt::Finish>(end)->verdict == core::Verdict::MayHaveRun));
}

// Guards against a request that is sent, or stays unanswered, after its deadline.
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
            AttemptController request(makeAttemptBinding(), makeParameters(SendPolicy::Repeatable));
            if (reached >= 1)
                request.handle(attempt::Dispatch {{"a"}}, kStart);
            if (reached >= 2)
                request.handle(attempt::Connected {makeId(1)}, kStart);
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
    AttemptController request(makeAttemptBinding(), makeParameters(SendPolicy::Repeatable));
    request.handle(attempt::Dispatch {{"a"}}, kStart);
    const auto actions = request.handle(attempt::Connected {makeId(1)}, late);
    BOOST_TEST(!hasAction<attempt::SendRequest>(actions));
    BOOST_TEST((findAction<attempt::Finish>(actions)->verdict == core::Verdict::NotRun));
}

// Guards against a request that crashes a third target.
BOOST_AUTO_TEST_CASE(twoTargetCrashesEndTheRequest)
{
    AttemptParameters parameters = makeParameters(SendPolicy::Repeatable);
    parameters.maxAttempts = 10;
    AttemptController request(makeAttemptBinding(), parameters);
    send(request, "a");
    BOOST_TEST(hasAction<attempt::ChooseTarget>(
        request.handle(attempt::ConnectionLost {makeId(1), true}, kStart)));
    send(request, "b");
    BOOST_TEST(hasAction<attempt::Finish>(
        request.handle(attempt::ConnectionLost {makeId(2), true}, kStart)));
}

// Guards against matching an answer to the wrong attempt because of a malformed header.
BOOST_AUTO_TEST_CASE(attemptIdSurvivesItsHeaderForm)
{
    BOOST_TEST((parseAttemptId(formatAttemptId({"node-1.7", 12})) == AttemptId {"node-1.7", 12}));
    for (const char *text :
         {"", ".", "r", "r.", ".1", "r.0", "r.x", "r.1x", "r.-1", "r.99999999999"})
        BOOST_TEST(!parseAttemptId(text).has_value(), text);
}

// Guards against a second send on the connection that carried the answer to the first one: a late
// copy of that answer has the identity of the second send as well.
BOOST_AUTO_TEST_CASE(repeatedSendUsesANewConnection)
{
    AttemptParameters parameters = makeParameters(SendPolicy::AtMostOnce);
    parameters.refusalProvesNotRun = true;
    AttemptController request(makeAttemptBinding(), parameters);
    const auto first = request.handle(attempt::Dispatch {{"a"}}, kStart);
    BOOST_TEST(!findAction<attempt::OpenConnection>(first)->mustBeNew);
    request.handle(attempt::Connected {makeId(1)}, kStart);
    request.handle(attempt::TargetRefused {makeId(1), makeId(1)}, kStart);
    const auto second = request.handle(attempt::Dispatch {{"a"}}, kStart);
    BOOST_TEST(findAction<attempt::OpenConnection>(second)->mustBeNew);

    parameters.echoesAttempt = false;
    AttemptController unidentified(makeAttemptBinding(), parameters);
    const auto only = unidentified.handle(attempt::Dispatch {{"a"}}, kStart);
    BOOST_TEST(findAction<attempt::OpenConnection>(only)->mustBeNew);
}

// Guards against the refusal of another attempt that counts as proof that this one has not run.
BOOST_AUTO_TEST_CASE(refusalThatNamesAnotherAttemptProvesNothing)
{
    AttemptParameters parameters = makeParameters(SendPolicy::AtMostOnce);
    parameters.refusalProvesNotRun = true;
    AttemptController request(makeAttemptBinding(), parameters);
    send(request, "a");
    request.handle(attempt::TargetRefused {makeId(1), AttemptId {"earlier", 1}}, kStart);
    BOOST_TEST(request.isFinished());
    BOOST_TEST((request.verdict() == core::Verdict::MayHaveRun));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
