#include <boost/test/unit_test.hpp>

#include "boragerack/config/GatewaySettings.h"

namespace boragerack::config::testing {

namespace {

const std::string kRequired =
    R"("instance":"n-1","dataCentre":"d","callerListen":"10.0.0.1:1","readyListen":"10.0.0.1:2",
       "directoryListen":"10.0.0.1:3","peerListen":"10.0.0.1:4","metricsListen":"10.0.0.1:5",
       "platform":"10.0.0.2:6","chartsDirectory":"charts")";

} // namespace

BOOST_AUTO_TEST_SUITE(GatewaySettingsTest)

BOOST_AUTO_TEST_CASE(readsFieldsAndAppliesDefaults)
{
    const auto settings = parseGatewaySettings(
        "f", "{" + kRequired + R"(,"orderHandoverMs":4000,"retryRatio":0.3,"quotaTolerance":7})");
    BOOST_REQUIRE(core::isOk(settings));
    BOOST_TEST((core::valueOf(settings).orderHandover == std::chrono::seconds(4)));
    BOOST_TEST(core::valueOf(settings).retryRatio == 0.3);
    BOOST_TEST(core::valueOf(settings).quotaTolerance == 7);
    BOOST_TEST((core::valueOf(settings).maxRevocationDelay == std::chrono::seconds(5)));
}

// Guards against a misspelt or malformed setting that is silently ignored.
BOOST_AUTO_TEST_CASE(rejectsUnknownAndMalformedFields)
{
    for (const char *extra : {R"(,"retryRate":1)", R"(,"revocationMs":"5")", R"(,"retryRatio":"x")",
                              R"(,"stopTimeoutMs":0)"})
        BOOST_TEST(!core::isOk(parseGatewaySettings("f", "{" + kRequired + extra + "}")));
    BOOST_TEST(!core::isOk(parseGatewaySettings("f", "{}")));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::config::testing
