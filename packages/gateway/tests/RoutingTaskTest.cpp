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
            [this](decisions::CoordinationReport report) {
                lastKnown = report.known;
                ++reports;
            },
            [this](RoutingTask::Relay) { return isRelayAccepted; });
    }

    /// Waits for the next report and answers it with this version of the target list.
    void answerReport(std::uint64_t targetsVersion)
    {
        const int before = reports;
        for (int i = 0; i < 200 && reports == before; ++i)
            boost::this_fiber::sleep_for(10ms);
        BOOST_REQUIRE(reports > before);
        decisions::CoordinationAnswer answer;
        answer.standing = decisions::CoordinatorStanding::Holding;
        ReportAnswered message;
        message.answer = answer;
        message.update.versions = {.term = 1, .members = 1, .targets = targetsVersion};
        message.reportedAt = clock.now();
        BOOST_REQUIRE(task.trySend(std::move(message)));
    }

    void setTargets(const std::vector<decisions::TargetEntry> &list)
    {
        auto entries = std::make_shared<decisions::TargetEntries>();
        for (const decisions::TargetEntry &entry : list)
            entries->emplace(entry.target, entry);
        BOOST_REQUIRE(task.trySend(TargetListChanged {entries, true}));
    }

    std::string chooseTarget(std::uint64_t number)
    {
        RouteRequest message;
        message.request = number;
        message.requirements.service = kService;
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
    int reports = 0;
    bool isRelayAccepted = true;
    runtime::FiberRuntime fibers;
    core::MonotonicClock clock;
    core::SeededRandomSource random {1};
    runtime::Metrics metrics;
    RoutingTask task {
        {}, {.retries = {}, .activeRequests = 10, .waiting = {}}, clock, random, metrics};
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

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::gateway::testing
