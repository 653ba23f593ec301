#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/fiber/operations.hpp>

#include "ReadPaceSource.h"
#include "TargetTask.h"
#include "boragerack/core/Clock.h"
#include "boragerack/core/SeededRandomSource.h"
#include "boragerack/core/StoreVersion.h"
#include "boragerack/runtime/FiberRuntime.h"

namespace boragerack::gateway::testing {

namespace {

using namespace std::chrono_literals;

std::vector<decisions::TargetEntry> entriesOf(const std::vector<std::string> &names)
{
    std::vector<decisions::TargetEntry> entries;
    for (const std::string &name : names) {
        decisions::TargetEntry entry;
        entry.target.value = name;
        entry.dataCentre.value = "east";
        entry.startedAt = 1;
        entries.push_back(std::move(entry));
    }
    return entries;
}

/// A platform whose answers leave at once but are received late, as on a node that is short of
/// processor time.
class DelayedSource final : public ServingSource
{
public:
    core::Result<ConfigurationRead> readConfiguration(ReadMode) override
    {
        return ConfigurationRead();
    }
    core::Result<ConfigurationRead> watchConfiguration(std::uint64_t,
                                                       std::chrono::milliseconds) override
    {
        return ConfigurationRead();
    }
    core::Result<decisions::ServingConfiguration>
    parseConfiguration(std::string_view) const override
    {
        return decisions::ServingConfiguration();
    }
    core::Result<std::set<core::DataCentreId>> listEvacuations() override
    {
        if (isFailing)
            return fail();
        ++evacuationReads;
        return evacuated;
    }
    core::Result<TargetsRead> listTargets() override
    {
        if (isFailing)
            return fail();
        TargetsRead read;
        read.revision = revision;
        read.events.emplace_back(decisions::targets::Listed {entriesOf(names), heartbeats});
        answeredAt = clock.now();
        boost::this_fiber::sleep_for(delay);
        return read;
    }
    core::Result<TargetsRead> watchTargets(std::uint64_t, std::chrono::milliseconds) override
    {
        if (isFailing)
            return fail();
        answeredAt = clock.now();
        TargetsRead read {revision, std::exchange(changes, {}), false};
        boost::this_fiber::sleep_for(delay);
        return read;
    }

    core::Error fail()
    {
        ++failures;
        return core::makeNotRunError(core::ErrorCode::PlatformUnavailable, "no answer");
    }

    core::MonotonicClock clock;
    std::vector<std::string> names;
    std::map<core::TargetId, std::uint64_t> heartbeats;
    std::uint64_t revision = 1;
    /// Answer to the next watch.
    std::vector<decisions::targets::Event> changes;
    bool isFailing = false;
    int failures = 0;
    std::set<core::DataCentreId> evacuated;
    int evacuationReads = 0;
    std::chrono::milliseconds delay = 50ms;
    core::TimePoint answeredAt = {};
};

class FixedPace final : public ReadPaceSource
{
public:
    explicit FixedPace(bool isCoordinating)
        : isCoordinating_(isCoordinating)
    {
    }
    bool isCoordinating() const override { return isCoordinating_; }
    decisions::PlatformReadPace pace() const override { return {1, isCoordinating_}; }

private:
    bool isCoordinating_;
};

struct TaskFixture
{
    /// Starts the task and waits for the first list.
    void start(bool isCoordinating)
    {
        pace = std::make_unique<FixedPace>(isCoordinating);
        task.start(
            [this](const TargetTask::Update &update) {
                if (isListenerBusy)
                    return false;
                last = update;
                answeredAt = source.answeredAt;
                return true;
            },
            *pace);
        for (int i = 0; i < 500 && !last.entries; ++i)
            boost::this_fiber::sleep_for(10ms);
        BOOST_REQUIRE(last.entries);
    }

    bool has(const std::string &name) const { return last.entries->contains({name}); }

    runtime::FiberRuntime fibers;
    core::SeededRandomSource random {1};
    DelayedSource source;
    std::unique_ptr<FixedPace> pace;
    bool isListenerBusy = false;
    TargetTask::Update last;
    /// When the platform answered the read of the last update.
    core::TimePoint answeredAt = {};
    TargetTask task {source, source.clock, random};
};

/// Evacuations must take effect within this time.
constexpr std::chrono::milliseconds kMaxEvacuationDelay(2000);

struct EvacuationFixture : TaskFixture
{
    void startEvacuating()
    {
        pace = std::make_unique<FixedPace>(true);
        evacuating.start(
            [this](const TargetTask::Update &update) {
                last = update;
                return true;
            },
            *pace);
        for (int i = 0; i < 500 && !last.entries; ++i)
            boost::this_fiber::sleep_for(10ms);
        BOOST_REQUIRE(last.entries);
    }

    bool isEvacuated() const { return last.entries->at({"a"}).isEvacuated; }

    TargetTask evacuating {source, source.clock, random, kMaxEvacuationDelay};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetTaskTest, TaskFixture)

// Guards against a list that counts as current because its answer was handled late.
BOOST_AUTO_TEST_CASE(ageOfAListIncludesTheTimeToReceiveIt)
{
    source.names = {"a"};
    source.delay = 300ms;
    start(true);
    BOOST_TEST((last.contentAt <= answeredAt));
    last = {};
    for (int i = 0; i < 200 && !last.entries; ++i)
        boost::this_fiber::sleep_for(10ms);
    BOOST_REQUIRE(last.entries);
    BOOST_TEST((last.contentAt <= answeredAt));
}

// Guards against requests to a target that left, after a coordinator relays a list that is older
// than the node's own.
BOOST_AUTO_TEST_CASE(olderRelayedListDoesNotBringBackARemovedTarget)
{
    source.names = {"b"};
    start(false);
    BOOST_TEST(!has("a"));
    BOOST_REQUIRE(task.trySend({entriesOf({"a", "b"}), source.clock.now() - 5s}));
    boost::this_fiber::sleep_for(300ms);
    BOOST_TEST(!has("a"));
    BOOST_TEST(has("b"));
}

// Guards against requests to a target whose removal this node has read, because a relayed list that
// arrived during the read is applied after it (review/8, DRAIN).
BOOST_AUTO_TEST_CASE(relayedListThatWaitsForAReadDoesNotReplaceItsAnswer)
{
    source.names = {"a", "b"};
    start(false);
    source.delay = 400ms;
    source.changes = {decisions::targets::Removed {{"a"}}};
    for (int i = 0; i < 200 && !source.changes.empty(); ++i)
        boost::this_fiber::sleep_for(10ms);
    BOOST_REQUIRE(source.changes.empty());
    BOOST_REQUIRE(task.trySend({entriesOf({"a", "b"}), source.clock.now(), {1, 1}}));
    for (int i = 0; i < 300 && has("a"); ++i)
        boost::this_fiber::sleep_for(10ms);
    boost::this_fiber::sleep_for(200ms);
    BOOST_TEST(!has("a"));
    BOOST_TEST(has("b"));
}

// Guards against requests to a target that left, which the copy of a restored platform lists to a
// node that has never read the list before, but knows of the removal from the coordinator.
BOOST_AUTO_TEST_CASE(firstReadAfterARestoreDoesNotBringBackARemovedTarget)
{
    BOOST_REQUIRE(task.trySend({entriesOf({"a", "b"}), source.clock.now(), {1, 1}}));
    start(false);
    BOOST_TEST(has("a"));
    BOOST_REQUIRE(task.trySend({entriesOf({"b"}), source.clock.now(), {1, 2}}));
    source.names = {"a", "b"};
    source.heartbeats = {{{"a"}, 5}, {{"b"}, 5}};
    source.revision = core::toVersionNumber({1, 1});
    source.answeredAt = {};
    for (int i = 0; i < 300 && source.answeredAt == core::TimePoint(); ++i)
        boost::this_fiber::sleep_for(10ms);
    BOOST_REQUIRE((source.answeredAt != core::TimePoint()));
    boost::this_fiber::sleep_for(source.delay + 100ms);
    BOOST_TEST(!has("a"));
    BOOST_TEST(has("b"));
    source.changes = {decisions::targets::Updated {entriesOf({"a"}).front(), 6}};
    for (int i = 0; i < 200 && !has("a"); ++i)
        boost::this_fiber::sleep_for(10ms);
    BOOST_TEST(has("a"));
}

// Guards against requests to a removed target because the receiver's mailbox was full at its
// removal and no later read changes the list.
BOOST_AUTO_TEST_CASE(listThatWasNotAcceptedIsSentAgain)
{
    start(false);
    isListenerBusy = true;
    BOOST_REQUIRE(task.trySend({entriesOf({"a"}), source.clock.now() + 1h}));
    boost::this_fiber::sleep_for(300ms);
    isListenerBusy = false;
    boost::this_fiber::sleep_for(300ms);
    BOOST_TEST(has("a"));
}

// Guards against requests to a target that left, because the node follows the list of the
// coordinator and makes no reads that would end the grace of the entry.
BOOST_AUTO_TEST_CASE(graceOfAKeptEntryEndsWhileTheListIsRelayed)
{
    source.names = {"a", "b"};
    start(false);
    source.isFailing = true;
    for (int i = 0; i < 200 && source.failures == 0; ++i)
        boost::this_fiber::sleep_for(10ms);
    const core::TimePoint removedAt = source.clock.now();
    BOOST_REQUIRE(task.trySend({entriesOf({"b"}), removedAt}));
    while (source.clock.now() < removedAt + decisions::TargetDirectory::kLapseGrace + 250ms) {
        boost::this_fiber::sleep_for(50ms);
        BOOST_REQUIRE(task.trySend({std::nullopt, source.clock.now()}));
    }
    BOOST_TEST(!has("a"));
    BOOST_TEST(has("b"));
}

// Guards against calls to the platform on deployments without evacuations.
BOOST_AUTO_TEST_CASE(evacuationsAreNotReadWithoutTheSetting)
{
    source.names = {"a"};
    start(true);
    BOOST_TEST(source.evacuationReads == 0);
}

// Guards against a node that starts during an evacuation and uses the targets before it knows of
// it, against an evacuation that takes effect too late, and against one that ends with an outage.
BOOST_FIXTURE_TEST_CASE(evacuationIsKnownFromTheFirstListUntilItsEnd, EvacuationFixture)
{
    source.names = {"a"};
    source.evacuated = {{"east"}};
    startEvacuating();
    BOOST_TEST(isEvacuated());
    source.evacuated.clear();
    boost::this_fiber::sleep_for(kMaxEvacuationDelay / 2);
    BOOST_TEST(!isEvacuated());
    source.evacuated = {{"east"}};
    boost::this_fiber::sleep_for(kMaxEvacuationDelay / 2);
    BOOST_TEST(isEvacuated());
    source.isFailing = true;
    source.evacuated.clear();
    boost::this_fiber::sleep_for(kMaxEvacuationDelay / 2);
    BOOST_TEST(isEvacuated());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::gateway::testing
