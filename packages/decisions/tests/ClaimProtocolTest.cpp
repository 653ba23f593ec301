#include <boost/test/unit_test.hpp>

#include "ActionLookup.h"
#include "ClaimHistory.h"
#include "RequestCharts.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;
using Actions = std::vector<claim::Action>;

constexpr core::TimePoint kStart {};

ClaimParameters makePlan(std::uint64_t sequence = 1)
{
    ClaimParameters plan;
    plan.key = makeClaimKey({"tegel"}, "POST /orders", "k");
    plan.writer = ClaimWriter {{"n1"}, 1, sequence};
    plan.request = core::makeDigest("body");
    plan.deadline = kStart + 10s;
    return plan;
}

StoredClaim makeStored(const ClaimParameters &plan, ClaimPhase phase)
{
    return StoredClaim {7, ClaimRecord {plan.writer, plan.request, phase, std::nullopt}};
}

/// Chances of a history in which only the first platform call fails, in the given way.
HistorySettings makeHistory(std::uint8_t fault)
{
    HistorySettings settings;
    settings.claimChart = makeClaimBinding();
    settings.attemptChart = makeAttemptBinding();
    settings.chances = {0, 0, 0, 1, 0, 2, 0, 1, 0, fault};
    return settings;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ClaimProtocolTest)

// Guards against a request that is refused for ever because the answer to its own claim was lost.
BOOST_AUTO_TEST_CASE(ownWriteIsRecognisedAfterALostAnswer)
{
    HistorySettings settings = makeHistory(5);
    BOOST_TEST((runHistory(settings).calls.front().verdict == core::Verdict::Ran));
    // Switched off: the own write counts as that of another.
    settings.claimChart = makeClaimBinding(withTransition(
        readChart("claim"), "checking", "foundOwn", {"repeated", {"reportMayHaveRun"}}));
    const HistoryResult result = runHistory(settings);
    BOOST_TEST((result.calls.front().verdict == core::Verdict::MayHaveRun));
    BOOST_TEST(result.executions == 0U);
}

// Guards against sending without a claim, or waiting for the whole deadline, in an outage.
BOOST_AUTO_TEST_CASE(outageRefusesWithNotRun)
{
    ClaimProtocol protocol(makeClaimBinding(), makePlan());
    core::TimePoint now = kStart;
    auto actions = protocol.handle(claim::Begin {}, now);
    std::uint64_t call = 0;
    while (!protocol.isFinished()) {
        actions = protocol.handle(claim::CallFailed {++call, false}, now);
        BOOST_TEST(!hasAction<claim::Grant>(actions));
        if (protocol.isFinished())
            break;
        now = *protocol.nextTimer();
        actions = protocol.handle(claim::TimerFired {}, now);
    }
    const auto refusal = findAction<claim::Refuse>(actions);
    BOOST_TEST_REQUIRE(refusal.has_value());
    BOOST_TEST((refusal->error.verdict == core::Verdict::NotRun));
    BOOST_TEST((refusal->error.code == core::ErrorCode::PlatformUnavailable));
    BOOST_TEST((now - kStart <= 200ms));
}

// Guards against an identity that stays blocked by the claim of a request that was refused: after
// "not run" the caller may try again and must not hear "may have run".
BOOST_AUTO_TEST_CASE(refusedRequestReleasesItsClaim)
{
    ClaimProtocol protocol(makeClaimBinding(), makePlan());
    protocol.handle(claim::Begin {}, kStart);
    auto actions = protocol.handle(claim::Cancel {}, kStart + 1ms);
    BOOST_TEST((findAction<claim::Refuse>(actions)->error.verdict == core::Verdict::NotRun));
    const auto read = findAction<claim::ReadClaim>(actions);
    BOOST_TEST_REQUIRE(read.has_value());
    // The create may be on its way still: a released record keeps it out.
    actions = protocol.handle(claim::Found {read->call, std::nullopt}, kStart + 2ms);
    const auto create = findAction<claim::CreateClaim>(actions);
    BOOST_TEST_REQUIRE(create.has_value());
    BOOST_TEST((create->record.phase == ClaimPhase::Released));
    // It was faster: the claim is there and is released.
    actions = protocol.handle(claim::Found {create->call, makeStored(makePlan(), ClaimPhase::Open)},
                              kStart + 3ms);
    const auto update = findAction<claim::UpdateClaim>(actions);
    BOOST_TEST_REQUIRE(update.has_value());
    BOOST_TEST(update->version == 7U);
    BOOST_TEST((update->record.phase == ClaimPhase::Released));
    protocol.handle(claim::Written {update->call, 8}, kStart + 4ms);
    BOOST_TEST(protocol.isFinished());

    ClaimProtocol next(makeClaimBinding(), makePlan(2));
    next.handle(claim::Begin {}, kStart);
    actions =
        next.handle(claim::Found {1, makeStored(makePlan(), ClaimPhase::Released)}, kStart + 1ms);
    const auto takeOver = findAction<claim::UpdateClaim>(actions);
    BOOST_TEST_REQUIRE(takeOver.has_value());
    BOOST_TEST(
        hasAction<claim::Grant>(next.handle(claim::Written {takeOver->call, 9}, kStart + 2ms)));
}

// Guards against an outcome that is lost because the platform was away for a moment: repeats would
// hear "may have run" for good.
BOOST_AUTO_TEST_CASE(recordingOutlastsAnOutageOfTwoMinutes)
{
    ClaimProtocol protocol(makeClaimBinding(), makePlan());
    protocol.handle(claim::Begin {}, kStart);
    protocol.handle(claim::Written {1, 7}, kStart);
    const claim::Finished finished {makeClaimOutcome(core::Verdict::Ran, 200, "text/plain", "x")};
    core::TimePoint now = kStart;
    std::uint64_t call = 1;
    for (protocol.handle(finished, now); now < kStart + 2min; now = *protocol.nextTimer()) {
        protocol.handle(claim::TimerFired {}, now);
        protocol.handle(claim::CallFailed {++call, false}, now);
        BOOST_TEST_REQUIRE(!protocol.isFinished());
    }
    protocol.handle(claim::TimerFired {}, now);
    const auto actions =
        protocol.handle(claim::Found {++call, makeStored(makePlan(), ClaimPhase::Open)}, now);
    const auto update = findAction<claim::UpdateClaim>(actions);
    BOOST_TEST_REQUIRE(update.has_value());
    BOOST_TEST((update->record.outcome == finished.outcome));
}

// Guards against giving a caller the answer to a different request that used the same key.
BOOST_AUTO_TEST_CASE(keyOfAnotherRequestIsAConflict)
{
    ClaimParameters other = makePlan(2);
    other.request = core::makeDigest("other body");
    ClaimProtocol protocol(makeClaimBinding(), makePlan());
    protocol.handle(claim::Begin {}, kStart);
    const auto actions =
        protocol.handle(claim::Found {1, makeStored(other, ClaimPhase::Finished)}, kStart);
    const auto refusal = findAction<claim::Refuse>(actions);
    BOOST_TEST_REQUIRE(refusal.has_value());
    BOOST_TEST((refusal->error.code == core::ErrorCode::Conflict));
    BOOST_TEST((refusal->error.verdict == core::Verdict::NotRun));
}

// Guards against an old answer being taken for that of the call under way, and against a wait
// beyond the deadline.
BOOST_AUTO_TEST_CASE(answersOfEarlierCallsAreIgnoredAndTheDeadlineHolds)
{
    ClaimProtocol protocol(makeClaimBinding(), makePlan());
    protocol.handle(claim::Begin {}, kStart);
    protocol.handle(claim::TimerFired {}, kStart + 500ms);
    protocol.handle(claim::TimerFired {}, kStart + 550ms);
    BOOST_TEST(protocol.handle(claim::Found {1, std::nullopt}, kStart + 551ms).empty());
    BOOST_TEST(protocol.handle(claim::Written {1, 3}, kStart + 551ms).empty());
    const auto end = protocol.handle(claim::TimerFired {}, kStart + 10s);
    BOOST_TEST((findAction<claim::Refuse>(end)->error.code == core::ErrorCode::DeadlineExceeded));
    BOOST_TEST((protocol.state() == ClaimState::Withdrawing));

    ClaimProtocol late(makeClaimBinding(), makePlan());
    const auto refused = late.handle(claim::Begin {}, kStart + 10s);
    BOOST_TEST(refused.size() == 1U);
    BOOST_TEST(late.isFinished());
}

// Guards against two identities that share one claim, and against a value above the platform's
// limit.
BOOST_AUTO_TEST_CASE(keysDifferAndLargeBodiesAreLeftOut)
{
    BOOST_TEST(makeClaimKey({"a"}, "bc", "d") != makeClaimKey({"ab"}, "c", "d"));
    const auto outcome = makeClaimOutcome(core::Verdict::Ran, 200, "text/plain",
                                          std::string(kMaxRecordedBodyBytes + 1, 'x'));
    BOOST_TEST(!outcome.hasBody);
    BOOST_TEST(outcome.body.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
