#include <boost/test/unit_test.hpp>

#include "ActionLookup.h"
#include "ClaimHistory.h"
#include "RequestCharts.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;
using Actions = std::vector<claim::Action>;

constexpr core::TimePoint kStart {};

ClaimParameters makeParameters(std::uint64_t sequence = 1)
{
    ClaimParameters parameters;
    parameters.key = makeClaimKey({"tegel"}, "POST /orders", "k");
    parameters.writer = ClaimWriter {{"n1"}, 1, sequence};
    parameters.request = core::makeDigest("body");
    parameters.deadline = kStart + 10s;
    return parameters;
}

StoredClaim makeStored(const ClaimParameters &parameters, ClaimPhase phase)
{
    return StoredClaim {7,
                        ClaimRecord {parameters.writer, parameters.request, phase, std::nullopt}};
}

/// Chances of a history in which only the first platform call fails, in the given way.
HistorySettings makeFaultSettings(std::uint8_t fault)
{
    HistorySettings settings;
    settings.claimChart = makeClaimBinding();
    settings.attemptChart = makeAttemptBinding();
    settings.chances = {0, 0, 0, 1, 0, 2, 0, 1, 0, fault};
    return settings;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ClaimProtocolTest)

// Guards against a request that is refused permanently because the platform's answer to its own
// claim was lost.
BOOST_AUTO_TEST_CASE(ownWriteIsRecognisedAfterALostAnswer)
{
    HistorySettings settings = makeFaultSettings(5);
    BOOST_TEST((runHistory(settings).calls.front().verdict == core::Verdict::Ran));
    // With the check disabled, the own write is treated as that of another writer.
    settings.claimChart = makeClaimBinding(withTransition(
        readChart("claim"), "verifying", "foundOwn", {"replayed", {"reportMayHaveRun"}}));
    const HistoryResult result = runHistory(settings);
    BOOST_TEST((result.calls.front().verdict == core::Verdict::MayHaveRun));
    BOOST_TEST(result.executions == 0U);
}

// Guards against sending without a claim, or waiting until the deadline, during a platform outage.
BOOST_AUTO_TEST_CASE(outageRefusesWithNotRun)
{
    ClaimProtocol protocol(makeClaimBinding(), makeParameters());
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

// Guards against an identity that stays blocked by the claim of a refused request: after "not run"
// the caller may retry and must not receive "may have run".
BOOST_AUTO_TEST_CASE(refusedRequestReleasesItsClaim)
{
    ClaimProtocol protocol(makeClaimBinding(), makeParameters());
    protocol.handle(claim::Begin {}, kStart);
    auto actions = protocol.handle(claim::Cancel {}, kStart + 1ms);
    BOOST_TEST((findAction<claim::Refuse>(actions)->error.verdict == core::Verdict::NotRun));
    const auto read = findAction<claim::ReadClaim>(actions);
    BOOST_TEST_REQUIRE(read.has_value());
    // The create may still be in flight: a released record keeps it from taking effect.
    actions = protocol.handle(claim::Found {read->call, std::nullopt}, kStart + 2ms);
    const auto create = findAction<claim::CreateClaim>(actions);
    BOOST_TEST_REQUIRE(create.has_value());
    BOOST_TEST((create->record.phase == ClaimPhase::Released));
    // The create took effect first: the claim exists and is released.
    actions = protocol.handle(
        claim::Found {create->call, makeStored(makeParameters(), ClaimPhase::Open)}, kStart + 3ms);
    const auto update = findAction<claim::UpdateClaim>(actions);
    BOOST_TEST_REQUIRE(update.has_value());
    BOOST_TEST(update->version == 7U);
    BOOST_TEST((update->record.phase == ClaimPhase::Released));
    protocol.handle(claim::Written {update->call, 8}, kStart + 4ms);
    BOOST_TEST(protocol.isFinished());

    ClaimProtocol next(makeClaimBinding(), makeParameters(2));
    next.handle(claim::Begin {}, kStart);
    actions = next.handle(claim::Found {1, makeStored(makeParameters(), ClaimPhase::Released)},
                          kStart + 1ms);
    const auto takeOver = findAction<claim::UpdateClaim>(actions);
    BOOST_TEST_REQUIRE(takeOver.has_value());
    BOOST_TEST(
        hasAction<claim::Grant>(next.handle(claim::Written {takeOver->call, 9}, kStart + 2ms)));
}

// Guards against an outcome that is lost in a short platform outage: repeats would receive "may
// have run" from then on.
BOOST_AUTO_TEST_CASE(recordingOutlastsAnOutageOfTwoMinutes)
{
    ClaimProtocol protocol(makeClaimBinding(), makeParameters());
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
        protocol.handle(claim::Found {++call, makeStored(makeParameters(), ClaimPhase::Open)}, now);
    const auto update = findAction<claim::UpdateClaim>(actions);
    BOOST_TEST_REQUIRE(update.has_value());
    BOOST_TEST((update->record.outcome == finished.outcome));
}

// Guards against returning the answer to a different request that used the same key.
BOOST_AUTO_TEST_CASE(keyOfAnotherRequestIsAConflict)
{
    ClaimParameters other = makeParameters(2);
    other.request = core::makeDigest("other body");
    ClaimProtocol protocol(makeClaimBinding(), makeParameters());
    protocol.handle(claim::Begin {}, kStart);
    const auto actions =
        protocol.handle(claim::Found {1, makeStored(other, ClaimPhase::Finished)}, kStart);
    const auto refusal = findAction<claim::Refuse>(actions);
    BOOST_TEST_REQUIRE(refusal.has_value());
    BOOST_TEST((refusal->error.code == core::ErrorCode::Conflict));
    BOOST_TEST((refusal->error.verdict == core::Verdict::NotRun));
}

// Guards against attributing a late answer to the pending call, and against a wait beyond the
// deadline.
BOOST_AUTO_TEST_CASE(answersOfEarlierCallsAreIgnoredAndTheDeadlineHolds)
{
    ClaimProtocol protocol(makeClaimBinding(), makeParameters());
    protocol.handle(claim::Begin {}, kStart);
    protocol.handle(claim::TimerFired {}, kStart + 500ms);
    protocol.handle(claim::TimerFired {}, kStart + 550ms);
    BOOST_TEST(protocol.handle(claim::Found {1, std::nullopt}, kStart + 551ms).empty());
    BOOST_TEST(protocol.handle(claim::Written {1, 3}, kStart + 551ms).empty());
    const auto end = protocol.handle(claim::TimerFired {}, kStart + 10s);
    BOOST_TEST((findAction<claim::Refuse>(end)->error.code == core::ErrorCode::DeadlineExceeded));
    BOOST_TEST((protocol.state() == ClaimState::Withdrawing));

    ClaimProtocol late(makeClaimBinding(), makeParameters());
    const auto refused = late.handle(claim::Begin {}, kStart + 10s);
    BOOST_TEST(refused.size() == 1U);
    BOOST_TEST(late.isFinished());
}

// Guards against two identities that share one claim, and against a record above the size limit of
// the platform.
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
