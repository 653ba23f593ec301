#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

#include <boost/fiber/operations.hpp>

#include "RoutingTask.h"
#include "boragerack/core/Clock.h"
#include "boragerack/core/SeededRandomSource.h"
#include "boragerack/runtime/FiberRuntime.h"

namespace boragerack::gateway::testing {

namespace {

using namespace std::chrono_literals;

const core::ServiceId kService {"plain"};

decisions::TargetEntry entryOf(const std::string &name)
{
    decisions::TargetEntry entry;
    entry.target.value = name;
    entry.service = kService;
    entry.address = name + ":1";
    entry.startedAt = 1;
    return entry;
}

struct RoutingFixture
{
    RoutingFixture()
    {
        task.start(
            [this](const decisions::CoordinationReport &report) {
                lastKnown = report.known;
                lastCrashes = report.crashes;
                lastUses = report.uses.value_or(std::vector<decisions::ArtifactInFlight>());
                ++reports;
                return isReportAccepted;
            },
            [this](const RoutingTask::Relay &relay) {
                relayedTargets += relay.targets ? 1 : 0;
                return isRelayAccepted;
            });
    }

    void waitForReport() { waitForReportAfter(reports); }

    void waitForReportAfter(int before)
    {
        for (int i = 0; i < 200 && reports == before; ++i)
            boost::this_fiber::sleep_for(10ms);
        BOOST_REQUIRE(reports > before);
    }

    /// Waits for the next report and answers it with this version of the target list.
    void answerReport(std::uint64_t targetsVersion, std::uint64_t term = 1)
    {
        waitForReport();
        decisions::CoordinationAnswer answer;
        answer.standing = decisions::CoordinatorStanding::Holding;
        answer.change.emplace();
        // Messages that follow an answer are in the next report.
        answer.reportAfter = 30ms;
        ReportAnswered message;
        message.answer = answer;
        message.update.versions = {.term = term, .members = 1, .targets = targetsVersion};
        message.reportedAt = clock.now();
        const bool isSent = task.trySend(std::move(message));
        BOOST_REQUIRE(isSent);
    }

    /// Answers the report in flight with this state of the fleet.
    void answerWith(const decisions::FleetUpdate &update, bool hasState = true)
    {
        decisions::CoordinationAnswer answer;
        answer.standing = decisions::CoordinatorStanding::Holding;
        if (hasState)
            answer.change.emplace();
        answer.reportAfter = 30ms;
        ReportAnswered message;
        message.answer = answer;
        message.update = update;
        message.reportedAt = clock.now();
        const bool isSent = task.trySend(std::move(message));
        BOOST_REQUIRE(isSent);
    }

    void loseReport()
    {
        waitForReport();
        ReportAnswered message;
        message.reportedAt = clock.now();
        const bool isSent = task.trySend(std::move(message));
        BOOST_REQUIRE(isSent);
    }

    void reportCrash(const std::string &name)
    {
        const core::Digest request = core::makeDigest(name);
        const RequestCrashReported message {{{.fingerprint = request, .origin = request}},
                                            {.attempt = {name, 1},
                                             .target = "a/1",
                                             .sentAt = clock.now() - 10ms,
                                             .crashedAt = clock.now()}};
        BOOST_REQUIRE(task.trySend(message));
    }

    void setTargets(const std::vector<decisions::TargetEntry> &list, bool hasReplicas = true)
    {
        auto entries = std::make_shared<decisions::TargetEntries>();
        for (const decisions::TargetEntry &entry : list)
            entries->emplace(entry.target, entry);
        BOOST_REQUIRE(task.trySend(TargetListChanged {entries, hasReplicas}));
    }

    std::string chooseTarget(std::uint64_t number,
                             const std::optional<decisions::Artifact> &artifact = std::nullopt)
    {
        RouteRequest message;
        message.request = number;
        message.requirements.service = kService;
        message.requirements.artifact = artifact;
        message.deadline = clock.now() + 1s;
        BOOST_REQUIRE(task.trySend(message));
        const auto grant = message.reply.waitUntil(clock.now() + 1s);
        BOOST_REQUIRE((grant && core::isOk(*grant)));
        return core::valueOf(*grant).target.value;
    }

    decisions::SendPermission requestPermission(std::uint64_t number)
    {
        const SendPermissionRequest message {number, {}};
        BOOST_REQUIRE(task.trySend(message));
        const auto permission = message.reply.waitUntil(clock.now() + 1s);
        BOOST_REQUIRE(permission.has_value());
        return *permission;
    }

    decisions::FleetVersions lastKnown;
    std::vector<decisions::quarantine::CrashReport> lastCrashes;
    std::vector<decisions::ArtifactInFlight> lastUses;
    int reports = 0;
    bool isReportAccepted = true;
    bool isRelayAccepted = true;
    int relayedTargets = 0;
    runtime::FiberRuntime fibers;
    core::MonotonicClock clock;
    core::SeededRandomSource random {1};
    runtime::Metrics metrics;
    static constexpr std::size_t kActiveRequests = 10;
    static constexpr std::size_t kWaitingRequests = 100'000;
    RoutingTask task {{},
                      {.retries = {},
                       .activeRequests = kActiveRequests,
                       .waiting = {kWaitingRequests, kWaitingRequests}},
                      clock,
                      random,
                      metrics};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RoutingTaskTest, RoutingFixture)

// Guards against a request that is sent to a target which left while its connection was opened.
BOOST_AUTO_TEST_CASE(targetThatLeftAfterItsSelectionGetsNoRequest)
{
    setTargets({entryOf("a")});
    BOOST_TEST(chooseTarget(1) == "a");
    BOOST_TEST((requestPermission(1) == decisions::SendPermission::Granted));

    decisions::TargetEntry leaving = entryOf("a");
    leaving.isLeaving = true;
    setTargets({leaving});
    BOOST_TEST((requestPermission(1) == decisions::SendPermission::TargetLeft));

    setTargets({entryOf("b")});
    BOOST_TEST((requestPermission(1) == decisions::SendPermission::TargetLeft));
    BOOST_TEST(chooseTarget(2) == "b");
    BOOST_TEST((requestPermission(2) == decisions::SendPermission::Granted));
}

// Guards against a caller that waits until its deadline for an engine that is full, and against the
// requests behind it, which a full node then never starts.
BOOST_AUTO_TEST_CASE(requestThatCannotBeginInTimeIsRefusedAtOnce)
{
    const decisions::Artifact model {{"m"}, {}, {}};
    decisions::ServingConfiguration configuration;
    configuration.services = {{.service = kService, .engine = decisions::EngineFigures {1}}};
    configuration.routes = {{.kind = decisions::RequestKind::Stream,
                             .targetLatency = 400ms,
                             .services = {{kService, 1}}}};
    BOOST_REQUIRE(task.trySend(
        ConfigurationChanged {std::make_shared<const decisions::RouteTable>(configuration)}));
    decisions::TargetEntry engine = entryOf("a");
    engine.replicas = {{model.model, 1, {}}};
    setTargets({engine});
    std::vector<RouteReply> replies;
    for (std::uint64_t number = 1; number <= 20; ++number) {
        RouteRequest message;
        message.request = number;
        message.requirements = {.service = kService, .artifact = model, .work = {600, 70}};
        message.requirements.deadline = clock.now() + (number < 10 ? 20s : 900ms);
        message.deadline = message.requirements.deadline;
        replies.push_back(message.reply);
        BOOST_REQUIRE(task.trySend(message));
    }
    for (std::size_t i = 9; i < 20; ++i) {
        const auto refused = replies[i].waitUntil(clock.now() + 500ms);
        BOOST_REQUIRE((refused && !core::isOk(*refused)));
        BOOST_TEST((core::errorOf(*refused).verdict == core::Verdict::NotRun));
        BOOST_TEST((core::errorOf(*refused).retryAfter >= 100ms));
        BOOST_TEST((core::errorOf(*refused).retryAfter <= 300ms));
    }
    BOOST_TEST(metrics.expose().find("boragerack_admission_refusals_total") != std::string::npos);
}

// Guards against a relayed list that was lost between tasks and is then confirmed as current.
BOOST_AUTO_TEST_CASE(lostRelayedListIsRequestedAgain)
{
    isRelayAccepted = false;
    answerReport(5);
    answerReport(5);
    BOOST_TEST(lastKnown.targets == 0U);
    isRelayAccepted = true;
    answerReport(5);
    answerReport(5);
    BOOST_TEST(lastKnown.targets == 5U);
}

// Guards against a list of an earlier term that is confirmed as current, because the list of the
// new term, which the node did not get, has the same version number.
BOOST_AUTO_TEST_CASE(lostRelayedListOfANewTermIsRequestedAgain)
{
    answerReport(5, 1);
    answerReport(5, 1);
    BOOST_TEST(lastKnown.targets == 5U);
    isRelayAccepted = false;
    answerReport(5, 2);
    waitForReport();
    BOOST_TEST(lastKnown.term == 2U);
    BOOST_TEST(lastKnown.targets == 0U);
}

// Guards against a list of the previous coordinator that is confirmed as current, because the next
// one names a relay in an answer without state (review/8, DRAIN).
BOOST_AUTO_TEST_CASE(answerWithoutStateConfirmsNoTargets)
{
    answerReport(5, 1);
    waitForReport();
    BOOST_TEST(relayedTargets == 1);
    decisions::FleetUpdate earlier;
    earlier.versions = lastKnown;
    earlier.since = lastKnown;
    answerWith(earlier, false);
    waitForReport();
    BOOST_TEST(relayedTargets == 1);
    BOOST_TEST(lastKnown.targets == 5U);
}

// Guards against a node that serves no model any more after its coordinator stood still for a
// second: the late answer holds only the changes since versions that the node has discarded.
BOOST_AUTO_TEST_CASE(answerAfterTheTimeoutKeepsThePlacements)
{
    const decisions::Artifact model {{"m"}, {}, {}};
    setTargets({entryOf("a")}, false);
    decisions::FleetUpdate update;
    update.versions = {.term = 1, .members = 1, .targets = 1, .placements = 1};
    update.placements = {{{"a"}, 1, {model}}};
    waitForReport();
    answerWith(update);
    BOOST_TEST(chooseTarget(1, model) == "a");

    waitForReport();
    decisions::FleetUpdate unchanged;
    unchanged.versions = update.versions;
    unchanged.since = lastKnown;
    BOOST_TEST((lastKnown == update.versions));
    boost::this_fiber::sleep_for(1200ms);
    const int before = reports;
    answerWith(unchanged);
    BOOST_TEST(chooseTarget(2, model) == "a");
    waitForReportAfter(before);
    BOOST_TEST((lastKnown == decisions::FleetVersions()));
}

// Guards against a node that reports no more, because it waits for the answer to a report that the
// full mailbox of the next task did not take.
BOOST_AUTO_TEST_CASE(reportThatCannotBeSentIsFollowedByAnother)
{
    isReportAccepted = false;
    waitForReport();
    waitForReport();
    isReportAccepted = true;
    answerReport(1);
    waitForReport();
    BOOST_TEST(lastKnown.term == 1U);
}

// Guards against a request that counts as active for good, because the full mailbox of the task did
// not take the message about its end.
BOOST_AUTO_TEST_CASE(endOfARequestWaitsForSpaceInTheMailbox)
{
    setTargets({entryOf("a")});
    // More requests than are active at a time.
    constexpr std::uint64_t kRequests = 40;
    for (std::uint64_t number = 1; number <= kRequests; ++number) {
        BOOST_TEST(chooseTarget(number) == "a");
        while (task.trySend(RequestFinished {})) { }
        BOOST_TEST(task.send(RouteRequestEnded {.request = number}));
    }
}

// Guards against a recursion as deep as the queue, which overflows the stack of the fiber: each
// refused request frees the place of the next one (review/11, LOST).
BOOST_AUTO_TEST_CASE(longBacklogIsRefusedWithoutRecursion)
{
    setTargets({entryOf("a")});
    for (std::uint64_t number = 1; number <= kActiveRequests; ++number)
        BOOST_TEST(chooseTarget(number) == "a");
    std::vector<RouteReply> replies;
    for (std::uint64_t i = 0; i < kWaitingRequests; ++i) {
        RouteRequest message;
        message.request = 100 + i;
        message.requirements.service = kService;
        message.deadline = clock.now() + 60s;
        replies.push_back(message.reply);
        const bool isSent = task.send(std::move(message));
        BOOST_REQUIRE(isSent);
    }
    BOOST_REQUIRE(task.send(TargetAdviceReceived {{{"a"}, 1}, {.pause = 300s}}));
    BOOST_REQUIRE(task.send(RouteRequestEnded {.request = 1}));
    for (const RouteReply &reply : replies) {
        const auto refused = reply.waitUntil(clock.now() + 10s);
        BOOST_REQUIRE((refused && !core::isOk(*refused)));
        BOOST_REQUIRE((core::errorOf(*refused).code == core::ErrorCode::NoReadyReplica));
    }
    setTargets({entryOf("a"), entryOf("b")});
    BOOST_TEST(chooseTarget(2 * kWaitingRequests) == "b");
}

// Guards against places and loads that are given back twice, or by requests that have none.
BOOST_AUTO_TEST_CASE(endsOfRequestsGiveBackWhatTheyTookOnce)
{
    const decisions::Artifact model {{"m"}, {}, {}};
    decisions::TargetEntry engine = entryOf("a");
    engine.replicas = {{model.model, 1, {}}};
    setTargets({engine});
    for (std::uint64_t number = 1; number <= kActiveRequests; ++number)
        BOOST_TEST(chooseTarget(number, model) == "a");
    // One request ends several times, and requests end that were never made.
    for (const std::uint64_t number : {1, 1, 1, 1, 101, 102, 103})
        BOOST_REQUIRE(task.trySend(RouteRequestEnded {.request = number}));
    const int before = reports;
    answerWith({});
    waitForReportAfter(before);
    BOOST_REQUIRE(lastUses.size() == 1U);
    BOOST_TEST(lastUses.front().inFlight == kActiveRequests - 1);
    BOOST_TEST(chooseTarget(20, model) == "a");
    RouteRequest waiting;
    waiting.request = 21;
    waiting.requirements = {.service = kService, .artifact = model};
    waiting.deadline = clock.now() + 1s;
    BOOST_REQUIRE(task.trySend(waiting));
    BOOST_TEST(!waiting.reply.waitUntil(clock.now() + 100ms).has_value());
}

// Guards against retries that are given back twice, or by requests that have reserved none.
BOOST_AUTO_TEST_CASE(endsOfRequestsGiveBackReservedRetriesOnce)
{
    // The requests earn one retry.
    for (std::uint64_t number = 1; number <= 7; ++number) {
        RouteRequest first;
        first.request = number;
        first.requirements.service = kService;
        first.deadline = clock.now() + 10s;
        BOOST_REQUIRE(task.trySend(first));
        BOOST_REQUIRE(task.trySend(RouteRequestEnded {.request = number}));
    }
    // Without targets, a retry that was reserved waits and one that was not is refused at once.
    const auto isReserved = [this](std::uint64_t number) {
        RouteRequest retry;
        retry.request = number;
        retry.requirements.service = kService;
        retry.isFirst = false;
        retry.isRetry = true;
        retry.deadline = clock.now() + 10s;
        BOOST_REQUIRE(task.trySend(retry));
        return !retry.reply.waitUntil(clock.now() + 100ms).has_value();
    };
    BOOST_TEST(isReserved(11));
    BOOST_TEST(!isReserved(12));
    BOOST_REQUIRE(task.trySend(RouteRequestEnded {.request = 12}));
    BOOST_REQUIRE(task.trySend(RouteRequestEnded {.request = 13}));
    BOOST_TEST(!isReserved(14));
    for (int i = 0; i < 3; ++i)
        BOOST_REQUIRE(task.trySend(RouteRequestEnded {.request = 11}));
    BOOST_TEST(isReserved(15));
    BOOST_TEST(!isReserved(16));
}

// Guards against crashes that no coordinator counts, because their report was not answered.
BOOST_AUTO_TEST_CASE(crashIsReportedUntilACoordinatorAnswers)
{
    answerReport(1);
    reportCrash("first");
    loseReport();
    BOOST_TEST(lastCrashes.size() == 1U);
    answerReport(1);
    BOOST_TEST(lastCrashes.size() == 1U);
    answerReport(1);
    BOOST_TEST(lastCrashes.empty());
}

// Guards against a part of a prompt that crashes targets again under each new coordinator, because
// the counts of the previous one ended with its term.
BOOST_AUTO_TEST_CASE(nextCoordinatorGetsTheCrashesOfThePreviousTerm)
{
    answerReport(1, 1);
    reportCrash("first");
    answerReport(1, 1);
    reportCrash("second");
    answerReport(1, 1);
    answerReport(1, 1);
    BOOST_TEST(lastCrashes.empty());
    answerReport(1, 2);
    answerReport(1, 2);
    BOOST_TEST(lastCrashes.size() == 2U);
    answerReport(1, 2);
    BOOST_TEST(lastCrashes.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::gateway::testing
