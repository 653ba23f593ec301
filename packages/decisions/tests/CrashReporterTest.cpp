#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "boragerack/decisions/CrashReporter.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint kStart(1h);

std::vector<CrashSuspect> suspectsOf(const std::string &name)
{
    const core::Digest request = core::makeDigest(name);
    return {{.fingerprint = request, .origin = request}};
}

void addCrash(CrashReporter &reporter, const std::string &name, core::TimePoint at)
{
    reporter.handleCrash({{name, 1}, "t", at - 100ms, at}, suspectsOf(name), at);
}

} // namespace

BOOST_AUTO_TEST_SUITE(CrashReporterTest)

// Guards against a crash that is lost with an unanswered report, and against one that is reported
// as if it had just happened.
BOOST_AUTO_TEST_CASE(reportIsRepeatedWithItsAgeUntilItIsAccepted)
{
    CrashReporter reporter;
    addCrash(reporter, "a", kStart);
    BOOST_TEST(reporter.takePending(kStart).crashes.size() == 1U);
    addCrash(reporter, "b", kStart + 1s);
    const CrashReports repeated = reporter.takePending(kStart + 2s);
    BOOST_TEST_REQUIRE(repeated.crashes.size() == 2U);
    BOOST_TEST((repeated.crashes.front().crashAge == 2s));
    BOOST_TEST((repeated.crashes.front().sentAge == 2100ms));
    addCrash(reporter, "c", kStart + 2s);
    reporter.handleAccepted();
    BOOST_TEST(reporter.takePending(kStart + 2s).crashes.size() == 1U);
    reporter.handleAccepted();
    BOOST_TEST(reporter.pendingCount() == 0U);
}

// Guards against a report that is repeated although its request has been answered since.
BOOST_AUTO_TEST_CASE(completeAnswerReplacesTheReport)
{
    CrashReporter reporter;
    addCrash(reporter, "a", kStart);
    reporter.handleCompletion(suspectsOf("a"), kStart + 1s);
    for (int i = 0; i < 2; ++i) {
        const CrashReports reports = reporter.takePending(kStart + 1s);
        BOOST_TEST(reports.crashes.empty());
        BOOST_TEST(reports.completed.size() == 1U);
    }
    reporter.handleAccepted();
    BOOST_TEST(reporter.takePending(kStart + 1s).completed.empty());
}

// Guards against crashes that a successor of the counting node does not count, and against those
// that it gets twice.
BOOST_AUTO_TEST_CASE(successorGetsAcceptedReportsOnce)
{
    CrashReporter reporter;
    addCrash(reporter, "a", kStart);
    reporter.takePending(kStart);
    reporter.handleAccepted();
    addCrash(reporter, "b", kStart);
    reporter.takePending(kStart);
    // The successor answers the report that has only the second crash.
    reporter.handleSuccessor();
    reporter.handleAccepted();
    const CrashReports reports = reporter.takePending(kStart + 1s);
    BOOST_TEST_REQUIRE(reports.crashes.size() == 1U);
    BOOST_TEST((reports.crashes.front().attempt == AttemptId {"a", 1}));
    reporter.handleAccepted();
    BOOST_TEST(reporter.pendingCount() == 0U);
}

// Guards against memory that grows while no coordinator answers, and against crashes that are
// reported long after they can matter.
BOOST_AUTO_TEST_CASE(reportsAreBoundedInNumberAndAge)
{
    CrashReporter reporter;
    for (int i = 0; i < 1000; ++i)
        addCrash(reporter, std::to_string(i), kStart);
    BOOST_TEST(reporter.takePending(kStart).crashes.size() == CrashReporter::kMaxCrashes);
    BOOST_TEST(reporter.takePending(kStart + CrashReporter::kRetention).crashes.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
