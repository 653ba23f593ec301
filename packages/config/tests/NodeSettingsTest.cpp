#include <boost/test/unit_test.hpp>

#include "boragerack/config/ConfigurationJson.h"
#include "boragerack/config/NodeSettings.h"

namespace config = boragerack::config;
namespace core = boragerack::core;
namespace decisions = boragerack::decisions;

namespace {

std::string settingsText(const std::string &extraFields,
                         const std::string &callerListen = "127.0.0.1:0")
{
    return R"({"instance":"pnw-a-1","dataCentre":"pnw-a","region":"pnw","callerListen":")"
        + callerListen + R"(","peerListen":"[::1]:7100","platform":"127.0.0.1:7000",
        "peers":["127.0.0.1:7101"],"fleetSecretFile":"/s","chartsDirectory":"/c",
        "statusDirectory":null)"
        + extraFields + "}";
}

std::string errorMessage(const std::string &text)
{
    const auto result = config::parseNodeSettings("node.json", text);
    return core::isOk(result) ? "" : core::errorOf(result).message;
}

} // namespace

// Guards against values of a settings file that are not stored in NodeSettings.
BOOST_AUTO_TEST_CASE(settingsAreRead)
{
    const auto result =
        config::parseNodeSettings("node.json", settingsText(R"(,"maxBodyBytes":2048,"drainMs":5)"));
    BOOST_REQUIRE(core::isOk(result));
    const config::NodeSettings &settings = core::valueOf(result);
    BOOST_TEST((settings.peerListen == config::SocketAddress {"::1", 7100}));
    BOOST_TEST((settings.peers == std::vector<config::SocketAddress> {{"127.0.0.1", 7101}}));
    BOOST_TEST(!settings.statusDirectory.has_value());
    BOOST_TEST(settings.maxBodyBytes == 2048);
    BOOST_TEST(settings.drainDuration.count() == 5);
    BOOST_TEST(settings.requestTimeout.count() == 30000);
}

// Guards against a time with a fraction that keeps a node from starting.
BOOST_AUTO_TEST_CASE(fractionsOfTimesAreAccepted)
{
    const auto result =
        config::parseNodeSettings("node.json", settingsText(R"(,"addressLifetimeMs":2500.5)"));
    BOOST_REQUIRE(core::isOk(result));
    BOOST_TEST(core::valueOf(result).addressLifetime.count() == 2500);
}

// Guards against a misspelt or malformed setting that is silently replaced by a default.
BOOST_AUTO_TEST_CASE(invalidSettingsAreRejected)
{
    BOOST_TEST(errorMessage(settingsText(R"(,"drainMS":5)"))
               == "node.json: drainMS: found 5, expected no field of this name");
    BOOST_TEST(errorMessage(settingsText("", "localhost:80"))
               == "node.json: callerListen: found \"localhost:80\", expected an IP address and a "
                  "port such as 127.0.0.1:0 or [::1]:0");
    BOOST_TEST(errorMessage(settingsText("", "127.0.0.1:70000")).find("node.json: callerListen")
               == 0U);
    BOOST_TEST(errorMessage("{}").find("node.json: instance: found nothing") == 0U);
}

// Guards against a configuration head or status that a node cannot parse after a relay wrote it.
BOOST_AUTO_TEST_CASE(headAndStatusRoundTripThroughJson)
{
    const decisions::ConfigurationHead head {
        7, 91, {"node-1"}, ~std::uint64_t(0), 3, {{"plans/main", core::makeDigest("x")}}};
    const auto parsedHead =
        config::parseConfigurationHead(config::serialiseConfigurationHead(head));
    BOOST_REQUIRE(core::isOk(parsedHead));
    BOOST_TEST((core::valueOf(parsedHead) == head));
    const decisions::ConfigurationStatus status {7, 91, {{"plans/b", 90, "lists/plans/b: \"x\""}}};
    const auto parsedStatus = config::parseStatus(config::serialiseStatus(status));
    BOOST_REQUIRE(core::isOk(parsedStatus));
    BOOST_TEST((core::valueOf(parsedStatus) == status));
    BOOST_TEST(!core::isOk(config::parseConfigurationHead("{}")));
}
