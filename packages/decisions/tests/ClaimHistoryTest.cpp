#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

#include "ClaimHistory.h"
#include "RequestCharts.h"
#include "boragerack/core/SeededRandomSource.h"

namespace boragerack::decisions::testing {

namespace {

HistorySettings makeSettings()
{
    HistorySettings settings;
    settings.claimChart = makeClaimBinding();
    settings.attemptChart = makeAttemptBinding();
    return settings;
}

/// Once the chances are used up, no fault is injected; the first four determine the outage and the
/// first call.
HistorySettings withChances(std::vector<std::uint8_t> chances)
{
    HistorySettings settings = makeSettings();
    settings.chances = std::move(chances);
    return settings;
}

constexpr std::uint32_t kHistories = 4000;

/// Number of histories that violate a property, and the first property violated.
std::pair<std::uint32_t, std::string> countViolations(HistorySettings settings)
{
    core::SeededRandomSource random(20261204);
    std::uint32_t count = 0;
    std::string first;
    for (std::uint32_t i = 0; i < kHistories; ++i) {
        settings.chances.resize(100);
        for (std::uint8_t &chance : settings.chances)
            chance = static_cast<std::uint8_t>(random.next());
        settings.killAtAction.reset();
        if (random.next() % 2 == 0)
            settings.killAtAction = static_cast<std::uint32_t>(random.next() % 30);
        const HistoryResult result = runHistory(settings);
        if (result.violation.empty())
            continue;
        if (++count == 1)
            first = result.violation;
    }
    return {count, first};
}

void expectViolations(const std::string &name, const HistorySettings &settings)
{
    const auto [count, first] = countViolations(settings);
    BOOST_TEST_MESSAGE(name << ": " << count << " of " << kHistories
                            << " histories fail, first: " << first);
    BOOST_TEST(count > 0U, name);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ClaimHistoryTest)

// Guards against a combination of platform faults, target faults, a killed node and repeated calls
// that runs an identity twice, reports a false "not run", or answers a repeat with anything but the
// first outcome or "may have run".
BOOST_AUTO_TEST_CASE(identityRunsAtMostOnceInEveryHistory)
{
    const HistorySettings base = makeSettings();
    const bool passed = rc::check(
        [&](const std::vector<std::uint8_t> &chances, const rc::Maybe<std::uint8_t> &kill) {
            HistorySettings settings = base;
            settings.chances = chances;
            if (kill)
                settings.killAtAction = *kill % 40;
            const HistoryResult result = runHistory(settings);
            RC_CLASSIFY(result.executions == 0, "not run");
            RC_CLASSIFY(result.executions == 1, "run once");
            RC_ASSERT(result.violation == "");
        });
    BOOST_TEST(passed);
    const auto [count, first] = countViolations(base);
    BOOST_TEST(count == 0U, first);
}

// Guards against a claim that is lost or taken over when its node crashes between two actions.
BOOST_AUTO_TEST_CASE(nodeMayDieAfterEachAction)
{
    std::uint32_t runs = 0;
    for (std::uint8_t fault = 0; fault < 12; ++fault) {
        for (std::uint32_t kill = 0; kill < 40; ++kill) {
            // No outage; call 0 at node 0; the fault is injected into its first platform call.
            HistorySettings settings = withChances({0, 0, 0, 1, 0, 2, 0, 1, 0, fault, 39});
            settings.killAtAction = kill;
            const HistoryResult result = runHistory(settings);
            BOOST_TEST(result.violation == "", "fault " << int(fault) << " kill " << kill);
            runs += result.executions;
        }
    }
    BOOST_TEST(runs > 0U);
}

// Guards against a protocol that is safe only because it never runs a request, and against repeats
// that do not receive the recorded outcome.
BOOST_AUTO_TEST_CASE(withoutFaultsTheFirstCallRunsAndRepeatsGetItsOutcome)
{
    const HistoryResult result = runHistory(makeSettings());
    BOOST_TEST(result.executions == 1U);
    for (const CallResult &call : result.calls) {
        BOOST_TEST((call.verdict == core::Verdict::Ran));
        BOOST_TEST(call.body == "run by call 0");
    }
}

// Each mechanism is disabled in turn; some of the same histories must then fail.
BOOST_AUTO_TEST_CASE(historiesFailWithoutEachMechanism)
{
    const charts::StateChart claim = readChart("claim");
    const charts::StateChart attempt = readChart("attempt");

    HistorySettings settings = makeSettings();
    settings.claimChart =
        makeClaimBinding(withTransition(claim, "creating", "callFailed", {"held", {"grantClaim"}}));
    expectViolations("a lost platform answer counts as success", settings);

    settings = makeSettings();
    settings.claimChart = makeClaimBinding(
        withTransition(claim, "creating", "foundOpen", {"takingOver", {"replaceClaim"}}));
    expectViolations("an open claim is taken over", settings);

    settings = makeSettings();
    settings.claimChart =
        makeClaimBinding(withTransition(claim, "withdrawing", "foundReleased", {"closed", {}}));
    expectViolations("a delayed takeover is not kept out", settings);

    settings = makeSettings();
    settings.claimChart = makeClaimBinding(
        withTransition(claim, "verifying", "abandon", {"refused", {"reportRefusal"}}));
    expectViolations("a refused request does not withdraw its claim", settings);

    settings = makeSettings();
    settings.sendsBeforeClaim = true;
    expectViolations("claim after send", settings);

    settings = makeSettings();
    settings.repeatsSequence = true;
    expectViolations("no sequence in the writer", settings);

    settings = makeSettings();
    settings.policy = SendPolicy::Repeatable;
    expectViolations("at-most-once requests are retried", settings);

    settings = makeSettings();
    charts::StateChart late =
        withTransition(attempt, "connecting", "connected", {"sending", {"sendRequest"}});
    late = withTransition(late, "sending", "answerStarted",
                          {"streaming", {"markMayHaveRun", "forwardHead"}});
    settings.attemptChart = makeAttemptBinding(late);
    expectViolations("verdict raised with the answer", settings);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
