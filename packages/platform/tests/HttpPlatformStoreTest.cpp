#include <boost/test/unit_test.hpp>

#include <boost/fiber/fiber.hpp>

#include "boragerack/platform/HttpPlatformStore.h"
#include "boragerack/runtime/FiberRuntime.h"
#include "boragerack/runtime/HttpClient.h"
#include "boragerack/runtime/HttpServer.h"
#include "boragerack/standins/PlatformStandin.h"

namespace core = boragerack::core;
namespace platform = boragerack::platform;
namespace runtime = boragerack::runtime;
namespace standins = boragerack::standins;
using namespace std::chrono_literals;

namespace {

struct PlatformFixture
{
    runtime::FiberRuntime fiberRuntime;
    standins::PlatformStandin standin;
    runtime::HttpServer server {fiberRuntime.ioContext(), standin, {}};
    runtime::HttpClient client {fiberRuntime.ioContext(), {}};
    std::string address = core::takeValue(server.listen("127.0.0.1:0"));
    platform::HttpPlatformStore store {client, address, 500ms};

    void control(const std::string &path, const std::string &body)
    {
        const auto deadline = std::chrono::steady_clock::now() + 5s;
        BOOST_REQUIRE(core::isOk(client.call(address, {"POST", path, {}, body}, deadline)));
    }
};

} // namespace

// Guards against two conditional writes of the same version that are both reported as applied.
BOOST_FIXTURE_TEST_CASE(conflictingWriteReturnsCurrentObject, PlatformFixture)
{
    const auto first = store.write("a/b c", "{\"n\":1}", std::nullopt);
    BOOST_REQUIRE(std::holds_alternative<platform::WriteApplied>(first));
    const auto second = store.write("a/b c", "{\"n\":2}", std::nullopt);
    BOOST_REQUIRE(std::holds_alternative<platform::WriteConflict>(second));
    BOOST_TEST(std::get<platform::WriteConflict>(second).current->value == "{\"n\":1}");
    const std::uint64_t version = std::get<platform::WriteApplied>(first).version;
    BOOST_TEST(
        std::holds_alternative<platform::WriteApplied>(store.write("a/b c", "{\"n\":3}", version)));
    BOOST_TEST(core::valueOf(store.read("a/b c"))->value == "{\"n\":3}");
}

// Guards against reporting a write as not applied when only its response was lost.
BOOST_FIXTURE_TEST_CASE(lostResponseLeavesOutcomeUnknown, PlatformFixture)
{
    control("/control/faults", "{\"loseAnswers\":1}");
    const auto lost = store.write("key", "1", std::nullopt);
    BOOST_REQUIRE(std::holds_alternative<core::Error>(lost));
    BOOST_TEST((std::get<core::Error>(lost).verdict == core::Verdict::MayHaveRun));
    BOOST_TEST(core::valueOf(store.read("key"))->value == "1");

    control("/control/faults", "{\"outage\":true}");
    const auto refused = store.write("other", "1", std::nullopt);
    BOOST_TEST((std::get<core::Error>(refused).verdict == core::Verdict::NotRun));
}

// Guards against versions that go back, and against a watch that goes on from a revision of the
// time before, when the platform is restored from an older copy.
BOOST_FIXTURE_TEST_CASE(versionsIncreaseAcrossARestore, PlatformFixture)
{
    store.write("a", "1", std::nullopt);
    control("/control/copy", "{}");
    for (int i = 0; i < 10; ++i)
        store.write("b" + std::to_string(i), "1", std::nullopt);
    const auto before = core::valueOf(store.list(""));
    const std::uint64_t version = core::valueOf(store.read("b9"))->version;

    control("/control/restore", "{}");
    BOOST_TEST(!core::valueOf(store.read("b9")).has_value());
    BOOST_TEST(core::valueOf(store.list("")).revision > before.revision);
    BOOST_TEST(core::valueOf(store.watch("", before.revision, 10ms)).isExpired);
    const auto written = store.write("b9", "2", std::nullopt);
    BOOST_REQUIRE(std::holds_alternative<platform::WriteApplied>(written));
    const std::uint64_t rewritten = std::get<platform::WriteApplied>(written).version;
    BOOST_TEST(rewritten > version);
    BOOST_TEST(core::valueOf(store.read("b9"))->version == rewritten);
    BOOST_TEST(std::holds_alternative<platform::WriteApplied>(store.write("b9", "3", rewritten)));
    BOOST_TEST(store.era() == 1U);
}

// Guards against a watch that misses a change or returns objects of other prefixes.
BOOST_FIXTURE_TEST_CASE(watchReturnsChangesUnderPrefix, PlatformFixture)
{
    const auto start = core::valueOf(store.list("lists/"));
    boost::fibers::fiber writer([this] {
        store.write("other", "0", std::nullopt);
        store.write("lists/plans/main", "1", std::nullopt);
    });
    const auto changes = core::takeValue(store.watch("lists/", start.revision, 2s));
    writer.join();
    BOOST_REQUIRE(changes.changes.size() == 1U);
    BOOST_TEST(changes.changes.front().key == "lists/plans/main");
    BOOST_TEST(changes.changes.front().value.value() == "1");
}

// Guards against losing the leaving state or the fencing flag when the instance list is parsed.
BOOST_FIXTURE_TEST_CASE(instanceListKeepsStateAndFencing, PlatformFixture)
{
    control("/control/instances",
            R"({"instance":"gpu-1","address":"127.0.0.1:9000","kind":"engine","state":"leaving",
                "memoryMiB":1000,"checksFencing":true})");
    const auto instances = core::takeValue(store.listInstances());
    BOOST_REQUIRE(instances.size() == 1U);
    BOOST_TEST((instances.front().state == platform::InstanceState::Leaving));
    BOOST_TEST(instances.front().checksFencing);
}
