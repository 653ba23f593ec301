#include <boost/test/unit_test.hpp>

#include <set>
#include <sstream>

#include <boost/fiber/operations.hpp>

#include "LoadGenerator.h"
#include "boragerack/runtime/FiberRuntime.h"
#include "boragerack/runtime/HttpHandler.h"
#include "boragerack/runtime/HttpResponder.h"
#include "boragerack/runtime/HttpServer.h"

namespace cli = boragerack::cli;
namespace config = boragerack::config;
namespace core = boragerack::core;
namespace runtime = boragerack::runtime;
using namespace std::chrono_literals;

namespace {

/// Fake node: serves an address list and streams of two tokens.
class FakeNode final : public runtime::HttpHandler
{
public:
    std::string addresses;
    std::chrono::milliseconds responseDelay = 0ms;
    int addressReads = 0;
    std::set<std::string> authorizations;

    void handle(const runtime::HttpRequest &request, runtime::HttpResponder &responder) override
    {
        if (request.target == "/v1/addresses") {
            ++addressReads;
            responder.send({200, {}, addresses});
            return;
        }
        authorizations.emplace(runtime::findHeader(request.headers, "Authorization"));
        if (request.body.find("\"refused\"") != std::string::npos) {
            responder.send(
                {429, {}, R"({"error":{"code":"rate_limited","verdict":"not_run","message":""}})"});
            return;
        }
        boost::this_fiber::sleep_for(responseDelay);
        responder.startStream(200, {{"Content-Type", "text/event-stream"}});
        responder.writePart("data: {}\n\n");
        responder.writePart("data: {}\n\n");
        if (request.body.find("\"cut\"") != std::string::npos)
            responder.abortConnection();
        else
            responder.writePart("data: [DONE]\n\n");
        responder.finishStream();
    }
};

struct LoadFixture
{
    runtime::FiberRuntime fiberRuntime;
    FakeNode node;
    runtime::HttpServer server {fiberRuntime.ioContext(), node, {}};
    std::string address = core::takeValue(server.listen("127.0.0.1:0"));
    std::string closedAddress;
    config::LoadGeneratorSettings settings;
    std::ostringstream progress;

    LoadFixture()
    {
        {
            // An address without a listener.
            runtime::HttpServer other(fiberRuntime.ioContext(), node, {});
            closedAddress = core::takeValue(other.listen("127.0.0.1:0"));
        }
        node.addresses = R"({"addresses":[")" + address + R"("],"lifetime_seconds":10})";
        settings.organisations = {{{"a"}, "", 1}, {{"b"}, "", 1}};
        settings.models = {{"good", 1}};
        settings.requestsPerMinute = 30000;
        settings.duration = 200ms;
        settings.requestTimeout = 2s;
    }

    cli::LoadTestReport run()
    {
        cli::LoadGenerator generator(fiberRuntime.ioContext(), settings, {address},
                                     {"key-a", "key-b"});
        return cli::makeLoadTestReport(settings, generator.run(progress));
    }
};

} // namespace

// Guards against using the key of another organisation and against fetching the address list for
// every request.
BOOST_FIXTURE_TEST_CASE(callersCacheAddressesAndUseTheirKey, LoadFixture)
{
    const cli::LoadTestReport report = run();
    BOOST_TEST(report.total.planned > 50U);
    BOOST_TEST(report.total.completed == report.total.planned);
    BOOST_TEST(report.total.interToken.count == report.total.planned);
    BOOST_TEST(node.addressReads == 2);
    const std::set<std::string> expected = {"Bearer key-a", "Bearer key-b"};
    BOOST_TEST(node.authorizations == expected, boost::test_tools::per_element());
}

// Guards against failing a request because a listed node no longer exists.
BOOST_FIXTURE_TEST_CASE(connectionFailureFallsBackToAnotherAddress, LoadFixture)
{
    node.addresses =
        R"({"addresses":[")" + address + R"(",")" + closedAddress + R"("],"lifetime_seconds":10})";
    const cli::LoadTestReport report = run();
    BOOST_TEST(report.total.completed == report.total.planned);
    BOOST_TEST(report.total.failedConnections > 0U);
}

// Guards against counting refusals and aborted streams as completed, or losing code and verdict.
BOOST_FIXTURE_TEST_CASE(refusalsAndAbortedStreamsAreReported, LoadFixture)
{
    settings.models = {{"good", 1}, {"refused", 1}, {"cut", 1}};
    const cli::LoadTestReport report = run();
    BOOST_TEST(report.models[0].completed == report.models[0].planned);
    BOOST_TEST(report.models[1].refused == report.models[1].planned);
    BOOST_REQUIRE(report.models[1].errors.size() == 1U);
    BOOST_TEST(report.models[1].errors[0].code == "rate_limited");
    BOOST_TEST(report.models[1].errors[0].verdict == "not_run");
    BOOST_TEST(report.models[2].failed == report.models[2].planned);
}

// Guards against coordinated omission: the generator must not wait for slow responses. With one
// request in flight, the others are counted as not sent.
BOOST_FIXTURE_TEST_CASE(inFlightRequestsAreBounded, LoadFixture)
{
    settings.maxInFlight = 1;
    node.responseDelay = 400ms;
    const cli::LoadTestReport report = run();
    BOOST_TEST(report.total.completed == 1U);
    BOOST_TEST(report.total.notSent == report.total.planned - 1);
}
