#include <sstream>

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

// Guards against figures with a fraction that keep a node from starting, or become another number.
BOOST_AUTO_TEST_CASE(acceptsFractions)
{
    const auto settings = parseGatewaySettings(
        "f",
        "{" + kRequired + R"(,"revocationMs":5000.5,"evacuationMs":0.4,"orderHandoverMs":2500.5,
             "stopTimeoutS":7.5,"addressLifetimeMs":8.0,"retryRatio":0.25,"retrySlack":54.5,
             "retryWindowS":2.0005,"quotaTolerance":110000.9,"processorShare":1,"memoryMb":260.5})");
    BOOST_REQUIRE(core::isOk(settings));
    const GatewaySettings &read = core::valueOf(settings);
    BOOST_TEST(read.maxRevocationDelay.count() == 5000);
    BOOST_TEST(read.maxEvacuationDelay.count() == 1);
    BOOST_TEST(read.orderHandover.count() == 2501);
    BOOST_TEST(read.stopTimeout.count() == 7500);
    BOOST_TEST(read.addressLifetime.count() == 8);
    BOOST_TEST(read.retryRatio == 0.25);
    BOOST_TEST(read.retrySlack == 54.5);
    BOOST_TEST(read.retryWindow.count() == 2001);
    BOOST_TEST(read.quotaTolerance == 110000);
    BOOST_TEST(read.processorShare == 1);
    BOOST_TEST(read.memoryMb == 260);
}

// Guards against a time in seconds that loses a millisecond because it has no exact binary form.
BOOST_AUTO_TEST_CASE(convertsSecondsExactly)
{
    for (int milliseconds = 1; milliseconds < 3000; ++milliseconds) {
        std::ostringstream seconds;
        seconds << milliseconds / 1000.0;
        const auto settings =
            parseGatewaySettings("f",
                                 "{" + kRequired + R"(,"stopTimeoutS":)" + seconds.str()
                                     + R"(,"retryWindowS":)" + seconds.str() + "}");
        BOOST_REQUIRE(core::isOk(settings));
        BOOST_TEST(core::valueOf(settings).stopTimeout.count() == milliseconds);
        BOOST_TEST(core::valueOf(settings).retryWindow.count() == milliseconds);
    }
}

// Guards against one of two contradicting times that is silently ignored, and against numbers that
// overflow when they are converted.
BOOST_AUTO_TEST_CASE(rejectsAmbiguousAndExtremeFigures)
{
    for (const char *extra :
         {R"(,"stopTimeoutMs":8000,"stopTimeoutS":8)", R"(,"stopTimeoutS":0)",
          R"(,"stopTimeoutS":3600.1)", R"(,"revocationMs":0.9)", R"(,"orderHandoverMs":-1)",
          R"(,"retryRatio":-0.1)", R"(,"retrySlack":1e300)", R"(,"quotaTolerance":1e300)",
          R"(,"processorShare":-1)", R"(,"processorShare":1e300)", R"(,"memoryMb":0.5)"})
        BOOST_TEST(!core::isOk(parseGatewaySettings("f", "{" + kRequired + extra + "}")), extra);
}

// Guards against a change of the settings that running nodes survive and restarted ones do not.
BOOST_AUTO_TEST_CASE(startIgnoresInvalidMembersWithDefaults)
{
    const auto recovered = recoverGatewaySettings(
        "f", "{" + kRequired + R"(,"retryRate":1,"revocationMs":true,"stopTimeoutS":7200,
             "retryRatio":0.3})");
    BOOST_REQUIRE(core::isOk(recovered));
    const RecoveredGatewaySettings &read = core::valueOf(recovered);
    BOOST_TEST(read.settings.instance.value == "n-1");
    BOOST_TEST((read.settings.maxRevocationDelay == std::chrono::seconds(5)));
    BOOST_TEST((read.settings.stopTimeout == std::chrono::seconds(8)));
    BOOST_TEST(read.settings.retryRatio == 0.3);
    BOOST_REQUIRE(read.ignored.size() == 3);
    BOOST_TEST(read.ignored[0]
               == "f: revocationMs: found true, expected a number from 1 to 3600000");
    BOOST_TEST(read.ignored[1]
               == "f: stopTimeoutS: found 7200, expected a number from 0.001 to 3600");
    BOOST_TEST(read.ignored[2] == "f: retryRate: found 1, expected no field of this name");
}

// Guards against a node that starts without its name or its addresses.
BOOST_AUTO_TEST_CASE(startNeedsTheRequiredMembers)
{
    const std::string name = R"("callerListen":"10.0.0.1:1")";
    for (const auto &[with, found] :
         {std::pair<std::string, std::string>(R"("callerListen":5)", "found 5"),
          {R"("callerListen":"here:1")", R"(found "here:1")"},
          {R"("unknown":1)", "found nothing"}}) {
        std::string text = "{" + kRequired + "}";
        text.replace(text.find(name), name.size(), with);
        const auto recovered = recoverGatewaySettings("f", text);
        BOOST_REQUIRE(!core::isOk(recovered));
        BOOST_TEST(core::errorOf(recovered).message.find("f: callerListen: " + found) == 0U);
    }
    for (const char *text : {"", "[]", "{", "{\"instance\":0007.5}"})
        BOOST_TEST(!core::isOk(recoverGatewaySettings("f", text)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::config::testing
