#include <boost/test/unit_test.hpp>

#include "boragerack/core/SeededRandomSource.h"
#include "boragerack/decisions/serving/AddressChoice.h"
#include "boragerack/decisions/serving/RequestRouter.h"
#include "boragerack/decisions/serving/RouteTable.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint kNow(1h);
const core::ServiceId kService {"engine"};
const Artifact kModel {{"m"}, {}, {}};

TargetEntry entryOf(const std::string &name, bool holdsModel, bool isLeaving = false)
{
    TargetEntry entry;
    entry.target.value = name;
    entry.service = kService;
    entry.address = name + ":1";
    entry.startedAt = 1;
    entry.isLeaving = isLeaving;
    if (holdsModel)
        entry.replicas.push_back({{"m"}, 1, {}});
    return entry;
}

struct Fixture
{
    core::SeededRandomSource random {1};
    RequestRouter router {random};

    void setTargets(const std::vector<TargetEntry> &list)
    {
        TargetEntries entries;
        for (const TargetEntry &entry : list)
            entries.emplace(entry.target, entry);
        granted = router.handle(
            routing::TargetsChanged {std::make_shared<const TargetEntries>(std::move(entries))},
            kNow);
    }

    std::string ask(std::uint64_t request, RouteRequirements demand = {})
    {
        demand.service = kService;
        demand.artifact = kModel;
        granted = router.handle(routing::RouteRequested {request, demand}, kNow);
        return granted.empty() ? "" : granted.front().target.value;
    }

    void advise(const std::string &name, const TargetAdvice &advice)
    {
        router.handle(routing::TargetAdvised {{{name}, 1}, advice}, kNow);
    }

    std::vector<routing::Granted> granted;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RequestRouterTest, Fixture)

// Guards against requests, retries and streams to resume that reach an evacuated target, also one
// that was chosen before the evacuation was known; and against a wait that cannot succeed.
BOOST_AUTO_TEST_CASE(evacuatedTargetsGetNoRequests)
{
    setTargets({entryOf("a", true)});
    BOOST_TEST(ask(1) == "a");
    TargetEntry evacuated = entryOf("a", true);
    evacuated.isEvacuated = true;
    setTargets({evacuated, entryOf("b", true)});
    BOOST_TEST(!router.claimSend(1, {"a"}, kNow));
    for (std::uint64_t i = 2; i < 20; ++i)
        BOOST_TEST(ask(i) == "b");
    BOOST_TEST(ask(20, {.only = {{"a"}}}) == "");
    RouteRequirements bound;
    bound.service = kService;
    bound.artifact = kModel;
    BOOST_TEST(!router.knownWait(bound, kNow));
    bound.only = {{"a"}};
    BOOST_REQUIRE(router.knownWait(bound, kNow));
    BOOST_TEST((*router.knownWait(bound, kNow) > 1h));
    // All targets of the service are evacuated: nothing can serve the request.
    bound.only.clear();
    setTargets({evacuated});
    BOOST_REQUIRE(router.knownWait(bound, kNow));
    BOOST_TEST((*router.knownWait(bound, kNow) > 1h));
    setTargets({entryOf("a", true)});
    BOOST_TEST(!router.knownWait(bound, kNow));
    BOOST_TEST(ask(21) == "a");
}

// Guards against a cold target that gets the requests of a warm one; a response without a rate must
// not end the limit, and the end of the cold period must.
BOOST_AUTO_TEST_CASE(coldTargetNeedsPermits)
{
    TargetEntry cold = entryOf("a", true);
    cold.isCold = true;
    setTargets({cold});
    BOOST_TEST(ask(1) == "a");
    router.handle(routing::ColdRatesChanged {{{kService, 30}}}, kNow);
    BOOST_TEST(router.takeNewAdvice());
    BOOST_TEST(!router.claimSend(1, {"a"}, kNow));
    BOOST_TEST(ask(2) == "");
    advise("a", {});
    BOOST_TEST(ask(3) == "");
    BOOST_REQUIRE(router.takeRateObservations(kNow).size() == 1U);
    BOOST_TEST(*router.takeRateObservations(kNow)[0].requestsPerSecond == 11.6);
    router.handle(routing::PermitsGranted {{{{"a"}, 1}}}, kNow);
    BOOST_TEST(ask(4) == "");
    setTargets({entryOf("a", true)});
    BOOST_TEST(ask(5) == "a");
}

// Guards against a permit that is given back after it was used, or more than once, so that a target
// gets more requests than its rate allows.
BOOST_AUTO_TEST_CASE(unusedPermitIsGivenBackOnce)
{
    setTargets({entryOf("a", true)});
    advise("a", {.requestsPerSecond = 1});
    router.handle(routing::PermitsGranted {{{{"a"}, 1}}}, kNow);
    const routing::Ended ended {1, {"a"}, kService, kModel, AttemptOutcome::Abandoned};
    BOOST_TEST(ask(1) == "a");
    for (int i = 0; i < 3; ++i)
        router.handle(ended, kNow);
    BOOST_TEST(ask(2) == "a");
    BOOST_TEST(ask(3) == "");
    BOOST_TEST(router.claimSend(2, {"a"}, kNow));
    router.handle(routing::Ended {2, {"a"}, kService, kModel, AttemptOutcome::Succeeded}, kNow);
    BOOST_TEST(ask(4) == "");
}

// Guards against requests that are sent to targets without the model, or to leaving ones.
BOOST_AUTO_TEST_CASE(onlyReadyTargetsAreUsed)
{
    setTargets({entryOf("a", false), entryOf("b", true, true), entryOf("c", true)});
    for (std::uint64_t i = 1; i <= 20; ++i)
        BOOST_TEST(ask(i) == "c");
}

// Guards against requests to a target that announced its stop to this node, also if it was selected
// before, and against a restarted one that gets none.
BOOST_AUTO_TEST_CASE(targetThatAnnouncedItsStopGetsNoRequestsUntilItRestarts)
{
    setTargets({entryOf("a", true), entryOf("b", true)});
    advise("a", {.isLeaving = true});
    BOOST_TEST(!router.claimSend(0, {"a"}, kNow));
    BOOST_TEST(router.claimSend(0, {"b"}, kNow));
    for (std::uint64_t i = 1; i <= 20; ++i)
        BOOST_TEST(ask(i) == "b");
    TargetEntry restarted = entryOf("a", true);
    restarted.startedAt = 2;
    setTargets({restarted});
    BOOST_TEST(ask(30) == "a");
}

// Guards against requests to a target within the time for which it asked for none, and against one
// that gets none afterwards.
BOOST_AUTO_TEST_CASE(pausedTargetGetsNoRequestsUntilThePauseEnds)
{
    setTargets({entryOf("a", true)});
    advise("a", {.pause = 2s});
    advise("a", {.pause = 1s});
    BOOST_TEST(!router.claimSend(0, {"a"}, kNow + 1900ms));
    BOOST_TEST(ask(1) == "");
    BOOST_TEST(router.handle(routing::Tick(), kNow + 1900ms).empty());
    BOOST_TEST(router.handle(routing::Tick(), kNow + 2s).size() == 1U);
    const RouteRequirements plain {.service = kService};
    BOOST_TEST((router.knownWait(plain, kNow) == core::Duration(2s)));
    BOOST_TEST(!router.knownWait(plain, kNow + 2s).has_value());
}

// Guards against a request that waits for its deadline although all its targets leave.
BOOST_AUTO_TEST_CASE(requestBoundToLeavingTargetsIsKnownToFail)
{
    setTargets({entryOf("a", true), entryOf("b", true)});
    advise("a", {.isLeaving = true});
    RouteRequirements demand {.service = kService, .artifact = kModel, .only = {{"a"}}};
    BOOST_TEST((router.knownWait(demand, kNow) > core::Duration(1h)));
    demand.only = {{"a"}, {"b"}};
    BOOST_TEST(!router.knownWait(demand, kNow).has_value());
    demand.only.clear();
    BOOST_TEST(!router.knownWait(demand, kNow).has_value());
}

// Guards against a request that waits although a replica has become ready, and against demand that
// is not reported to the coordinator.
BOOST_AUTO_TEST_CASE(waitsForAReplica)
{
    setTargets({entryOf("a", false)});
    BOOST_TEST(ask(1) == "");
    BOOST_TEST(router.takeNewlyWaiting());
    const auto demands = router.takeDemands(kNow + 100ms);
    BOOST_REQUIRE(demands.size() == 1U);
    BOOST_TEST(demands.front().waiting == 1U);
    BOOST_TEST((demands.front().oldestWait == 100ms));
    granted = router.handle(routing::PlacementsChanged {{{{"a"}, 1, {kModel}}}}, kNow);
    BOOST_REQUIRE(granted.size() == 1U);
    BOOST_TEST(granted.front().request == 1U);
    BOOST_TEST(router.takeDemands(kNow).empty());
    BOOST_TEST(router.uses().size() == 1U);
}

// Guards against requests to a model that is being unloaded: the coordinator knows of the unload
// before the target list shows it.
BOOST_AUTO_TEST_CASE(placementGoesBeforeTheList)
{
    setTargets({entryOf("a", true)});
    router.handle(routing::PlacementsChanged {{{{"a"}, 1, {}}}}, kNow);
    BOOST_TEST(ask(1) == "");
    // A placement of an earlier process says nothing about the restarted one.
    router.handle(routing::PlacementsChanged {{{{"a"}, 0, {}}}}, kNow);
    BOOST_TEST(ask(2) == "a");
}

// Guards against a target that responds that it does not hold the model and immediately gets
// another request for it.
BOOST_AUTO_TEST_CASE(missingReplicaIsAvoidedForAWhile)
{
    setTargets({entryOf("a", true)});
    BOOST_TEST(ask(1) == "a");
    router.handle(routing::Ended {1, {"a"}, kService, kModel, AttemptOutcome::Refused, true}, kNow);
    BOOST_TEST(ask(2) == "");
    BOOST_TEST(router.handle(routing::Tick(), kNow + 1s).size() == 1U);
}

// Guards against requests to a target that fails most of them while others succeed.
BOOST_AUTO_TEST_CASE(failingTargetIsSetAside)
{
    setTargets({entryOf("a", true), entryOf("b", true), entryOf("c", true)});
    for (int i = 0; i < 6; ++i) {
        for (const char *target : {"a", "b", "c"}) {
            const bool isFailing = std::string(target) == "a";
            router.handle(
                routing::Ended {0,
                                {target},
                                kService,
                                std::nullopt,
                                isFailing ? AttemptOutcome::Failed : AttemptOutcome::Succeeded,
                                false},
                kNow);
        }
    }
    for (std::uint64_t i = 1; i <= 20; ++i)
        BOOST_TEST(ask(i) != "a");
}

// Guards against requests with a common prefix that are spread over all replicas, and against a
// replica that is overloaded because of its prefixes.
BOOST_AUTO_TEST_CASE(sharedPrefixesStayTogether)
{
    setTargets({entryOf("a", true), entryOf("b", true), entryOf("c", true)});
    RouteRequirements demand;
    demand.prefix = 77;
    const std::string first = ask(1, demand);
    BOOST_TEST(ask(2, demand) == first);
    BOOST_TEST(ask(3, demand) == first);
    bool isRedirected = false;
    for (std::uint64_t i = 4; i < 20; ++i)
        isRedirected = ask(i, demand) != first || isRedirected;
    BOOST_TEST(isRedirected);
}

// Guards against a shorter prefix that takes precedence over a longer one, and against keys that
// are stored in plain text.
BOOST_AUTO_TEST_CASE(longestPrefixWins)
{
    ServingConfiguration configuration;
    configuration.routes = {{.name = "short", .host = "h", .pathPrefix = "/a/"},
                            {.name = "long", .host = "h", .pathPrefix = "/a/b/"}};
    configuration.organisations = {{{"yard"}, {core::makeDigest("key")}, {}, {}, false, 1}};
    const RouteTable table(configuration);
    BOOST_REQUIRE(table.findRoute("h", "/a/b/c"));
    BOOST_TEST(table.findRoute("h", "/a/b/c")->name == "long");
    BOOST_TEST(table.findRoute("h", "/a/x")->name == "short");
    BOOST_TEST(!table.findRoute("other", "/a/x"));
    BOOST_TEST(!table.findRoute("h", "/b/"));
    BOOST_REQUIRE(table.findKey("key"));
    BOOST_TEST(!table.findKey("other"));
}

// Guards against callers that get only one address, and against remote addresses where the local
// ones suffice.
BOOST_AUTO_TEST_CASE(nearAddressesWhileTheySuffice)
{
    std::vector<FleetMember> members {
        {{"a"}, "1", {"x"}}, {{"b"}, "2", {"x"}}, {{"c"}, "3", {"y"}}};
    BOOST_TEST(chooseAddresses(members, {"x"}).size() == 2U);
    BOOST_TEST(chooseAddresses(members, {"y"}).size() == 3U);
    BOOST_TEST(chooseAddresses({}, {"y"}).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
