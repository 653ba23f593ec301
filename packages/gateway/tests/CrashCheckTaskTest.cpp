#include <boost/test/unit_test.hpp>

#include <deque>
#include <memory>
#include <stdexcept>

#include <boost/fiber/operations.hpp>

#include "CrashCheckTask.h"
#include "RoutingTask.h"
#include "boragerack/charts/ChartParser.h"
#include "boragerack/core/SeededRandomSource.h"
#include "boragerack/gateway/TargetControl.h"
#include "boragerack/runtime/FiberRuntime.h"

namespace boragerack::gateway::testing {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kStartedAt = 7;

std::shared_ptr<const decisions::ConnectionBinding> connectionChart()
{
    auto chart = charts::loadChart(BORAGERACK_CHARTS_DIR, "connection");
    if (!core::isOk(chart))
        throw std::runtime_error(core::errorOf(chart).message);
    auto binding = decisions::bindConnectionChart(core::valueOf(chart));
    if (!core::isOk(binding))
        throw std::runtime_error(core::errorOf(binding).message);
    return std::make_shared<const decisions::ConnectionBinding>(
        core::takeValue(std::move(binding)));
}

core::Error lostProbe(core::Verdict verdict)
{
    return {core::ErrorCode::ConnectionFailed, verdict, "connection lost", 0ms};
}

/// A target whose answers to report requests are given; after the last one it stays silent.
class ScriptedTarget final : public TargetControl
{
public:
    decisions::swap::OrderOutcome order(const std::string &, const decisions::swap::SendOrder &,
                                        const core::InstanceId &, std::uint64_t, core::TimePoint,
                                        const IsAllowed &) override
    {
        return decisions::swap::OrderOutcome::NotSent;
    }

    core::Result<decisions::TargetReport> report(const std::string &, const core::TargetId &,
                                                 core::TimePoint deadline) override
    {
        ++requests;
        if (answers.empty()) {
            boost::this_fiber::sleep_until(deadline);
            return core::Error {core::ErrorCode::DeadlineExceeded, core::Verdict::MayHaveRun,
                                "no answer", 0ms};
        }
        auto answer = answers.front();
        answers.pop_front();
        return answer;
    }

    std::deque<core::Result<decisions::TargetReport>> answers;
    int requests = 0;
};

struct CrashCheckFixture
{
    CrashCheckFixture()
    {
        routing.start(
            [this](const decisions::CoordinationReport &report) {
                crashes += report.crashes.size();
                acceptReport();
                return true;
            },
            [](const RoutingTask::Relay &) { return true; });
        checks.start();
    }

    /// Answers a report, so that the next one follows.
    void acceptReport()
    {
        decisions::CoordinationAnswer answer;
        answer.standing = decisions::CoordinatorStanding::Holding;
        answer.change.emplace();
        answer.reportAfter = 30ms;
        ReportAnswered message;
        message.answer = answer;
        message.update.versions = {.term = 1, .members = 1, .targets = 1};
        message.reportedAt = clock.now();
        const bool isSent = routing.trySend(std::move(message));
        BOOST_REQUIRE(isSent);
    }

    /// Reports a lost connection. `isPrompt`: a part of the prompt is suspected as well.
    void loseConnection(bool isPrompt = true)
    {
        CrashSuspected message;
        message.report.suspects.push_back({.fingerprint = core::makeDigest("request")});
        if (isPrompt)
            message.report.suspects.push_back(
                {.fingerprint = core::makeDigest("part"), .minOrigins = 2});
        message.report.attempt = {
            .attempt = {"r", 1}, .target = "t/7", .sentAt = clock.now(), .crashedAt = clock.now()};
        message.target = {"t"};
        message.address = "t:1";
        message.startedAt = kStartedAt;
        const bool isSent = checks.trySend(std::move(message));
        BOOST_REQUIRE(isSent);
    }

    /// Waits for a crash in a report of the node, for longer than a check takes.
    bool isCrashReported()
    {
        for (int i = 0; i < 40 && crashes == 0; ++i)
            boost::this_fiber::sleep_for(50ms);
        return crashes > 0;
    }

    std::size_t crashes = 0;
    runtime::FiberRuntime fibers;
    core::MonotonicClock clock;
    core::SeededRandomSource random {1};
    runtime::Metrics metrics;
    ScriptedTarget target;
    RoutingTask routing {
        {}, {.retries = {}, .activeRequests = 10, .waiting = {}}, clock, random, metrics};
    CrashCheckTask checks {connectionChart(), target, routing};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashCheckTaskTest, CrashCheckFixture)

// Guards against a refusal of sound requests because answers of running targets were lost.
BOOST_AUTO_TEST_CASE(lossOnARunningTargetIsNoCrash)
{
    target.answers.push_back(decisions::TargetReport {kStartedAt, 0, false, {}, {}});
    loseConnection();
    BOOST_TEST(!isCrashReported());
    BOOST_TEST(target.requests == 1);
}

// Guards against the same when the answer to the first probe is lost too.
BOOST_AUTO_TEST_CASE(lostProbeIsRepeated)
{
    target.answers.emplace_back(lostProbe(core::Verdict::MayHaveRun));
    target.answers.push_back(decisions::TargetReport {kStartedAt, 0, false, {}, {}});
    loseConnection();
    BOOST_TEST(!isCrashReported());
    BOOST_TEST(target.requests == 2);
}

// Guards against a crash that is not counted because the target has started again.
BOOST_AUTO_TEST_CASE(restartedTargetHasCrashed)
{
    target.answers.push_back(decisions::TargetReport {kStartedAt + 1, 0, false, {}, {}});
    loseConnection();
    BOOST_TEST(isCrashReported());
}

// Guards against a crash that is not counted because the target cannot be asked.
BOOST_AUTO_TEST_CASE(targetThatRefusesConnectionsHasCrashed)
{
    target.answers.emplace_back(lostProbe(core::Verdict::NotRun));
    loseConnection();
    BOOST_TEST(isCrashReported());
    BOOST_TEST(target.requests == 1);
}

// Guards against a crash that is never counted because the target stays silent.
BOOST_AUTO_TEST_CASE(silentTargetCountsAsCrashed)
{
    loseConnection();
    BOOST_TEST(isCrashReported());
}

// Guards against a probe that a plain service executes as a request.
BOOST_AUTO_TEST_CASE(plainServiceIsNotProbed)
{
    loseConnection(false);
    BOOST_TEST(isCrashReported());
    BOOST_TEST(target.requests == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::gateway::testing
