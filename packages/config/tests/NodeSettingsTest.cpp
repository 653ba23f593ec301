#include <boost/test/unit_test.hpp>

#include "boragerack/config/ConfigurationJson.h"
#include "boragerack/config/NodeSettings.h"

namespace config = boragerack::config;
namespace core = boragerack::core;
namespace decisions = boragerack::decisions;

namespace {

std::string settingsText(const std::string &more, const std::string &callerListen = "127.0.0.1:0")
{
    return R"({"instance":"pnw-a-1","dataCentre":"pnw-a","region":"pnw","callerListen":")"
        + callerListen + R"(","peerListen":"[::1]:7100","platform":"127.0.0.1:7000",
        "peers":["127.0.0.1:7101"],"fleetSecretFile":"/s","chartsDirectory":"/c",
        "statusDirectory":null)"
        + more + "}";
}

std::string faultOf(const std::string &text)
{
    const auto result = config::parseNodeSettings("node.json", text);
    return core::isOk(result) ? "" : core::errorOf(result).message;
}

} // namespace

// Guards against a settings file whose values do not arrive in the aggregate.
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

// Guards against a mistyped setting that is silently replaced by a default.
BOOST_AUTO_TEST_CASE(faultySettingsAreRejected)
{
    BOOST_TEST(faultOf(settingsText(R"(,"drainMS":5)"))
               == "node.json: drainMS: found 5, expected no field of this name");
    BOOST_TEST(faultOf(settingsText("", "localhost:80"))
               == "node.json: callerListen: found \"localhost:80\", expected an IP address and a "
                  "port such as 127.0.0.1:0 or [::1]:0");
    BOOST_TEST(faultOf(settingsText("", "127.0.0.1:70000")).find("node.json: callerListen") == 0U);
    BOOST_TEST(faultOf("{}").find("node.json: instance: found nothing") == 0U);
}

// Guards against a head or status object that a node cannot read back after a relay wrote it.
BOOST_AUTO_TEST_CASE(headAndStatusSurviveJson)
{
    const decisions::ConfigurationHead head {
        7, 91, {"node-1"}, ~std::uint64_t(0), 3, {{"plans/main", core::makeDigest("x")}}};
    const auto headBack = config::parseConfigurationHead(config::serialiseConfigurationHead(head));
    BOOST_REQUIRE(core::isOk(headBack));
    BOOST_TEST((core::valueOf(headBack) == head));
    const decisions::ConfigurationStatus status {7, 91, {{"plans/b", 90, "lists/plans/b: \"x\""}}};
    const auto statusBack = config::parseStatus(config::serialiseStatus(status));
    BOOST_REQUIRE(core::isOk(statusBack));
    BOOST_TEST((core::valueOf(statusBack) == status));
    BOOST_TEST(!core::isOk(config::parseConfigurationHead("{}")));
}
