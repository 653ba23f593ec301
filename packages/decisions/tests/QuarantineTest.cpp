#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include "RequestCharts.h"
#include "boragerack/decisions/AttemptController.h"
#include "boragerack/decisions/Quarantine.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint kStart {};
const core::OrganisationId kOrganisation {"tegel"};

core::Digest makeTestFingerprint(const std::string &body)
{
    return makeFingerprint(kOrganisation, "POST /v1/completions", body);
}

/// Six nodes; node 0 owns the fingerprint. Every target that runs the request crashes.
class Fleet
{
public:
    explicit Fleet(const QuarantineLimits &limits)
        : nodes_(6, Quarantine(limits))
    {
    }

    /// Sends the crashing request through a node; returns false if it is refused.
    bool send(std::size_t node, core::TimePoint now)
    {
        if (nodes_[node].check(makeTestFingerprint("poison"), now))
            return false;
        AttemptParameters parameters;
        parameters.request = std::to_string(++requests_);
        parameters.policy = SendPolicy::Repeatable;
        parameters.deadline = now + 30s;
        AttemptController request(chart_, parameters);
        while (!request.isFinished()) {
            request.handle(attempt::Dispatch {{"t" + std::to_string(crashes_)}}, now);
            request.handle(attempt::Connected {request.current()}, now);
            ++crashes_;
            report(request.current(), now);
            request.handle(attempt::ConnectionLost {request.current(), true}, now);
        }
        return true;
    }

    std::size_t crashes() const { return crashes_; }
    const Quarantine &node(std::size_t index) const { return nodes_[index]; }

private:
    void report(const AttemptId &attempt, core::TimePoint now)
    {
        // The second iteration is a repeated report of the same crash.
        for (int repeat = 0; repeat < 2; ++repeat) {
            for (const auto &action : nodes_[0].handle(
                     quarantine::CrashReport {makeTestFingerprint("poison"), attempt}, now)) {
                const auto &announce = std::get<quarantine::Announce>(action);
                for (Quarantine &other : nodes_)
                    other.handle(quarantine::Notice {announce.fingerprint, announce.remaining},
                                 now);
            }
        }
    }

    std::vector<Quarantine> nodes_;
    std::shared_ptr<const AttemptBinding> chart_ = makeAttemptBinding();
    std::size_t crashes_ = 0;
    std::size_t requests_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(QuarantineTest)

// Guards against a request that crashes one target after another each time it is sent again.
BOOST_AUTO_TEST_CASE(crashingRequestIsRefusedAfterTwoCrashes)
{
    Fleet fleet({});
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(fleet.send(i % 6, kStart + i * 1s) == (i == 0));
    BOOST_TEST(fleet.crashes() == 2U);
    // Other requests of the organisation, and the same text from another one, still run.
    const auto now = kStart + 1min;
    BOOST_TEST(!fleet.node(3).check(makeTestFingerprint("other"), now).has_value());
    BOOST_TEST(!fleet.node(3)
                    .check(makeFingerprint({"other"}, "POST /v1/completions", "poison"), now)
                    .has_value());
    const auto refusal = fleet.node(3).check(makeTestFingerprint("poison"), now);
    BOOST_TEST_REQUIRE(refusal.has_value());
    BOOST_TEST((refusal->code == core::ErrorCode::Quarantined));
    BOOST_TEST((refusal->verdict == core::Verdict::NotRun));
    BOOST_TEST((refusal->retryAfter == 9min));
    BOOST_TEST(fleet.send(3, kStart + 10min));

    // With a limit that is never reached, every request is sent.
    Fleet open(QuarantineLimits {1000, 10min, 4096});
    for (int i = 0; i < 20; ++i)
        open.send(i % 6, kStart + i * 1s);
    BOOST_TEST(open.crashes() == 40U);
}

// Guards against a refusal because of one crash that was reported twice, or of two crashes that are
// 10 min apart.
BOOST_AUTO_TEST_CASE(singleCrashIsNotRefused)
{
    Quarantine quarantine;
    const auto fingerprint = makeTestFingerprint("x");
    BOOST_TEST(quarantine.handle(quarantine::CrashReport {fingerprint, {"r", 1}}, kStart).empty());
    BOOST_TEST(quarantine.handle(quarantine::CrashReport {fingerprint, {"r", 1}}, kStart).empty());
    BOOST_TEST(
        quarantine.handle(quarantine::CrashReport {fingerprint, {"r", 2}}, kStart + 10min).empty());
    BOOST_TEST(!quarantine.check(fingerprint, kStart + 10min).has_value());
    BOOST_TEST(
        quarantine.handle(quarantine::CrashReport {fingerprint, {"s", 1}}, kStart + 11min).size()
        == 1U);
}

// Guards against memory that grows with the number of crashing requests, and against many of them
// evicting a refusal.
BOOST_AUTO_TEST_CASE(entriesAreBoundedAndSingleCrashesAreEvictedBeforeRefusals)
{
    Quarantine quarantine(QuarantineLimits {2, 10min, 100});
    const auto crashing = makeTestFingerprint("poison");
    quarantine.handle(quarantine::Notice {crashing, 10min}, kStart);
    for (int i = 0; i < 1000; ++i) {
        quarantine.handle(
            quarantine::CrashReport {makeTestFingerprint(std::to_string(i)), {"r", 1}},
            kStart + i * 1ms);
    }
    BOOST_TEST(quarantine.size() == 100U);
    BOOST_TEST(quarantine.check(crashing, kStart + 5min).has_value());
}

// Guards against the refusal of requests that were in progress when many targets crashed at once,
// which no request caused.
BOOST_AUTO_TEST_CASE(crashesAtTheSameTimeCountOnce)
{
    Quarantine quarantine;
    const auto fingerprint = makeTestFingerprint("x");
    for (int i = 0; i < 10; ++i) {
        const quarantine::CrashReport report {.fingerprint = fingerprint,
                                              .attempt = {"r" + std::to_string(i), 1},
                                              .sentAge = 200ms + i * 1ms};
        BOOST_TEST(quarantine.handle(report, kStart + i * 1ms).empty());
    }
    BOOST_TEST(!quarantine.check(fingerprint, kStart + 1s).has_value());
    // A request that was sent after the crash of the others counts.
    const quarantine::CrashReport next {
        .fingerprint = fingerprint, .attempt = {"s", 1}, .sentAge = 200ms};
    BOOST_TEST(quarantine.handle(next, kStart + 1s).size() == 1U);
}

// Guards against the refusal of a fingerprint whose requests are answered, and against one that
// stays refused although they are.
BOOST_AUTO_TEST_CASE(completeAnswerEndsTheSuspicion)
{
    Quarantine quarantine;
    const auto fingerprint = makeTestFingerprint("x");
    quarantine.handle(quarantine::CrashReport {fingerprint, {"r", 1}}, kStart);
    quarantine.handle(quarantine::Completed {fingerprint}, kStart + 1s);
    BOOST_TEST(
        quarantine.handle(quarantine::CrashReport {fingerprint, {"r", 2}}, kStart + 2s).empty());
    BOOST_TEST(
        quarantine.handle(quarantine::CrashReport {fingerprint, {"r", 3}}, kStart + 10s).empty());
    BOOST_TEST(
        quarantine.handle(quarantine::CrashReport {fingerprint, {"r", 4}}, kStart + 11s).size()
        == 1U);
    BOOST_TEST(quarantine.check(fingerprint, kStart + 12s).has_value());
    const auto actions = quarantine.handle(quarantine::Completed {fingerprint}, kStart + 12s);
    BOOST_TEST_REQUIRE(actions.size() == 1U);
    BOOST_TEST((std::get<quarantine::Announce>(actions.front()).remaining == 0ms));
    BOOST_TEST(!quarantine.check(fingerprint, kStart + 12s).has_value());
}

// Guards against the refusal of a part because of one faulty target, or of one request that is sent
// again and again.
BOOST_AUTO_TEST_CASE(crashesOfOneTargetOrOneOriginAreNotEnough)
{
    Quarantine quarantine({.maxCrashes = 3, .minTargets = 2});
    const auto fingerprint = makeTestFingerprint("part");
    const auto first = makeTestFingerprint("first");
    const auto report = [&](int number, const core::Digest &origin, const std::string &target) {
        const quarantine::CrashReport crash {.fingerprint = fingerprint,
                                             .attempt = {"r" + std::to_string(number), 1},
                                             .origin = origin,
                                             .minOrigins = 2,
                                             .target = target,
                                             .part = fingerprint};
        quarantine.handle(crash, kStart + number * 1s);
        return quarantine.handle(quarantine::Tick(), kStart + number * 1s + 250ms).size();
    };
    for (int i = 0; i < 4; ++i)
        BOOST_TEST(report(i, first, "t1") == 0U);
    BOOST_TEST(report(4, makeTestFingerprint("second"), "t1") == 0U);
    BOOST_TEST(report(5, first, "t2") == 0U);
    BOOST_TEST(report(6, first, "t3") == 1U);
    BOOST_TEST((quarantine.refusals(kStart + 7s)
                == std::vector<quarantine::Notice> {{fingerprint, 10min - 1s}}));
}

// Guards against the refusal of parts that were in progress beside the cause, because their
// requests were sent again together with it.
BOOST_AUTO_TEST_CASE(partThatExplainsAllCrashesIsRefusedAlone)
{
    Quarantine quarantine({.maxCrashes = 3, .minTargets = 2});
    const auto cause = makeTestFingerprint("cause");
    const auto beside = makeTestFingerprint("beside");
    const auto request = makeTestFingerprint("request");
    const auto crash = [&](const core::Digest &suspect, int number, std::uint32_t minOrigins) {
        const std::string name = std::to_string(number);
        const auto now = kStart + number * 100ms;
        quarantine.handle(quarantine::CrashReport {.fingerprint = suspect,
                                                   .attempt = {"r" + name, 1},
                                                   .origin = makeTestFingerprint("origin" + name),
                                                   .minOrigins = minOrigins,
                                                   .target = "t" + name,
                                                   .sentAge = 10ms,
                                                   .part = suspect},
                          now);
        return quarantine.handle(quarantine::Tick(), now);
    };
    for (int i = 0; i < 4; ++i) {
        if (i > 0) {
            crash(beside, i, 2);
            crash(request, i, 1);
        }
        crash(cause, i, 2);
    }
    BOOST_TEST(quarantine.check(request, kStart + 500ms).has_value());
    const auto actions = quarantine.handle(quarantine::Tick(), kStart + 600ms);
    BOOST_TEST(actions.size() == 2U);
    BOOST_TEST(quarantine.check(cause, kStart + 600ms).has_value());
    BOOST_TEST(!quarantine.check(beside, kStart + 600ms).has_value());
    BOOST_TEST(!quarantine.check(request, kStart + 600ms).has_value());
    // Reports of the last crash that arrive late do not count either.
    crash(beside, 3, 2);
    BOOST_TEST(quarantine.handle(quarantine::Tick(), kStart + 2s).empty());
}

// Guards against the refusal of a part that is in every request of the cause and in sound ones, and
// against one that is never refused because another one was first.
BOOST_AUTO_TEST_CASE(ofPartsThatOccurTogetherTheLastIsRefusedFirst)
{
    Quarantine quarantine({.maxCrashes = 3, .minTargets = 2});
    const auto first = makeTestFingerprint("first");
    const auto second = makeTestFingerprint("second");
    const auto crash = [&](const core::Digest &suspect, std::uint32_t position, int number) {
        const std::string name = std::to_string(number);
        quarantine.handle(quarantine::CrashReport {.fingerprint = suspect,
                                                   .attempt = {"r" + name, 1},
                                                   .origin = makeTestFingerprint("origin" + name),
                                                   .minOrigins = 2,
                                                   .target = "t" + name,
                                                   .part = suspect,
                                                   .position = position},
                          kStart + number * 100ms);
    };
    for (int i = 0; i < 3; ++i) {
        crash(first, 1, i);
        crash(second, 2, i);
    }
    BOOST_TEST(quarantine.handle(quarantine::Tick(), kStart + 400ms).size() == 1U);
    BOOST_TEST(quarantine.check(second, kStart + 400ms).has_value());
    BOOST_TEST(quarantine.handle(quarantine::Tick(), kStart + 4s).empty());
    crash(first, 1, 50);
    BOOST_TEST(quarantine.handle(quarantine::Tick(), kStart + 5200ms).size() == 2U);
    BOOST_TEST(quarantine.check(first, kStart + 5200ms).has_value());
    BOOST_TEST(!quarantine.check(second, kStart + 5200ms).has_value());
}

// Guards against crashes that do not count, because nodes report them in another order than they
// happened.
BOOST_AUTO_TEST_CASE(orderOfReportsDoesNotMatter)
{
    std::vector<int> order {1, 2, 3};
    do {
        Quarantine quarantine({.maxCrashes = 3, .minTargets = 2});
        const auto fingerprint = makeTestFingerprint("x");
        for (const int second : order) {
            const auto age = std::chrono::seconds(5 - second);
            const auto name = std::to_string(second);
            quarantine.handle(quarantine::CrashReport {.fingerprint = fingerprint,
                                                       .attempt = {"r" + name, 1},
                                                       .target = "t" + name,
                                                       .sentAge = age + 100ms,
                                                       .crashAge = age},
                              kStart + 5s);
        }
        BOOST_TEST(quarantine.check(fingerprint, kStart + 5s).has_value());
    } while (std::ranges::next_permutation(order).found);
}

// Guards against the refusal of a part that most requests share before that of the cause, whose
// crashes overlap.
BOOST_AUTO_TEST_CASE(answeredPartIsNotRefusedBeforeTheCause)
{
    Quarantine quarantine({.maxCrashes = 3, .minTargets = 2});
    const auto cause = makeTestFingerprint("cause");
    const auto answered = makeTestFingerprint("answered");
    const auto crash = [&](const core::Digest &suspect, int number, std::chrono::seconds sentAge) {
        const std::string name = std::to_string(number);
        quarantine.handle(
            quarantine::CrashReport {.fingerprint = suspect,
                                     .attempt = {"r" + name, suspect == cause ? 1U : 2U},
                                     .origin = makeTestFingerprint("origin" + name),
                                     .minOrigins = 2,
                                     .target = "t" + name,
                                     .sentAge = sentAge,
                                     .part = suspect,
                                     .position = suspect == cause ? 2U : 1U,
                                     .wasAnswered = suspect != cause},
            kStart + number * 1s);
    };
    for (int i = 1; i <= 3; ++i) {
        crash(answered, i, 0s);
        crash(cause, i, i == 2 ? 2s : 0s);
    }
    BOOST_TEST(quarantine.handle(quarantine::Tick(), kStart + 4s).empty());
    crash(cause, 5, 0s);
    BOOST_TEST(quarantine.handle(quarantine::Tick(), kStart + 6s).size() == 1U);
    BOOST_TEST(quarantine.check(cause, kStart + 6s).has_value());
    BOOST_TEST(!quarantine.check(answered, kStart + 6s).has_value());
}

// Guards against a cause whose crashes no longer count, because a part that had been answered was
// refused for them.
BOOST_AUTO_TEST_CASE(refusalOfAnAnsweredPartDoesNotHideTheCause)
{
    Quarantine quarantine({.maxCrashes = 3, .minTargets = 2});
    const auto cause = makeTestFingerprint("cause");
    const auto answered = makeTestFingerprint("answered");
    const auto crash = [&](const core::Digest &suspect, int number) {
        const std::string name = std::to_string(number);
        quarantine.handle(
            quarantine::CrashReport {.fingerprint = suspect,
                                     .attempt = {"r" + name, suspect == cause ? 1U : 2U},
                                     .origin = makeTestFingerprint("origin" + name),
                                     .minOrigins = 2,
                                     .target = "t" + name,
                                     .part = suspect,
                                     .wasAnswered = suspect != cause},
            kStart + number * 1s);
    };
    for (int i = 1; i <= 5; ++i) {
        crash(answered, i);
        if (i <= 2)
            crash(cause, i);
    }
    quarantine.handle(quarantine::Tick(), kStart + 6s);
    BOOST_TEST(quarantine.check(answered, kStart + 6s).has_value());
    crash(cause, 7);
    quarantine.handle(quarantine::Tick(), kStart + 8s);
    BOOST_TEST(quarantine.check(cause, kStart + 8s).has_value());
    BOOST_TEST(!quarantine.check(answered, kStart + 8s).has_value());
}

// Guards against the refusal of a part that was reported some milliseconds before a better
// explanation, and against a cause that starts from zero after such a refusal, because only one
// request had had it until then.
BOOST_AUTO_TEST_CASE(betterExplanationIsAwaited)
{
    for (const bool hasOneOrigin : {false, true}) {
        Quarantine quarantine({.maxCrashes = 3, .minTargets = 2});
        const auto cause = makeTestFingerprint("cause");
        const auto beside = makeTestFingerprint("beside");
        const auto crash = [&](const core::Digest &suspect, int number, core::TimePoint now) {
            const std::string name = std::to_string(number);
            const bool isSameOrigin = suspect == cause && hasOneOrigin && number <= 3;
            quarantine.handle(
                quarantine::CrashReport {.fingerprint = suspect,
                                         .attempt = {"r" + name, suspect == cause ? 1U : 2U},
                                         .origin = makeTestFingerprint(isSameOrigin ? "" : name),
                                         .minOrigins = 2,
                                         .target = "t" + name,
                                         .part = suspect,
                                         .position = suspect == cause ? 3U : 2U},
                now);
        };
        for (int i = 1; i <= 3; ++i) {
            crash(beside, i, kStart + i * 1s);
            crash(cause, i, kStart + i * 1s + 50ms);
        }
        BOOST_TEST(quarantine.handle(quarantine::Tick(), kStart + 3160ms).empty() != hasOneOrigin);
        crash(cause, 4, kStart + 4s);
        quarantine.handle(quarantine::Tick(), kStart + 5s);
        BOOST_TEST(quarantine.check(cause, kStart + 5s).has_value());
        BOOST_TEST(!quarantine.check(beside, kStart + 5s).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
