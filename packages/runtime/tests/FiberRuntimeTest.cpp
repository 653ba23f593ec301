#include <boost/test/unit_test.hpp>

#include <ctime>
#include <stdexcept>
#include <thread>

#include <boost/asio/post.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include "boragerack/runtime/Await.h"
#include "boragerack/runtime/ExceptionBoundary.h"
#include "boragerack/runtime/FiberGroup.h"
#include "boragerack/runtime/FiberRuntime.h"
#include "boragerack/runtime/HttpClient.h"
#include "boragerack/runtime/HttpExchange.h"
#include "boragerack/runtime/HttpHandler.h"
#include "boragerack/runtime/HttpResponder.h"
#include "boragerack/runtime/HttpServer.h"
#include "boragerack/runtime/Mailbox.h"

namespace core = boragerack::core;
namespace runtime = boragerack::runtime;
using namespace std::chrono_literals;

namespace {

class EchoHandler final : public runtime::HttpHandler
{
public:
    void handle(const runtime::HttpRequest &request, runtime::HttpResponder &responder) override
    {
        if (request.target == "/stream") {
            responder.startStream(200, {});
            for (int i = 0; i < 3; ++i) {
                responder.writePart("part" + std::to_string(i) + ";");
                boost::this_fiber::sleep_for(5ms);
            }
            responder.finishStream();
        } else if (request.target == "/cut") {
            responder.startStream(200, {});
            responder.writePart("beginning");
            responder.abortConnection();
        } else {
            responder.send({200, {}, request.method + " " + request.body});
        }
    }
};

/// CPU time of this process in milliseconds.
double cpuTimeMs()
{
    return 1000.0 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

struct ServerFixture
{
    runtime::FiberRuntime fiberRuntime;
    EchoHandler handler;
    runtime::HttpServer server {fiberRuntime.ioContext(), handler, {.maxBodyBytes = 1000}};
    runtime::HttpClient client {fiberRuntime.ioContext(), {}};
    std::string address = core::takeValue(server.listen("127.0.0.1:0"));

    core::Result<runtime::HttpResponse> call(runtime::HttpRequest request)
    {
        return client.call(address, std::move(request), std::chrono::steady_clock::now() + 5s);
    }
};

} // namespace

// Guards against a scheduler that busy-waits while all fibers are blocked.
BOOST_AUTO_TEST_CASE(waitingThreadUsesNoCpuTime)
{
    runtime::FiberRuntime fiberRuntime;
    const double before = cpuTimeMs();
    boost::fibers::fiber([] { boost::this_fiber::sleep_for(500ms); }).join();
    BOOST_TEST(cpuTimeMs() - before < 20.0);
}

// Guards against a mailbox that grows without bound when its task is slow.
BOOST_AUTO_TEST_CASE(fullMailboxRejectsMessages)
{
    runtime::FiberRuntime fiberRuntime;
    runtime::Mailbox<int> mailbox(4);
    int accepted = 0;
    while (mailbox.trySend(accepted))
        ++accepted;
    BOOST_TEST(accepted == 3);
    BOOST_TEST(mailbox.receive().value() == 0);
    BOOST_TEST(mailbox.trySend(3));
}

// Guards against a wait that never ends because its deadline is ignored.
BOOST_AUTO_TEST_CASE(mailboxWaitEndsAtTheDeadline)
{
    runtime::FiberRuntime fiberRuntime;
    runtime::Mailbox<int> mailbox(4);
    const auto start = std::chrono::steady_clock::now();
    BOOST_TEST(!mailbox.receiveUntil(start + 50ms).has_value());
    BOOST_TEST((std::chrono::steady_clock::now() - start >= 50ms));
}

// Guards against responses that are returned for the wrong request on reused connections.
BOOST_FIXTURE_TEST_CASE(concurrentCallsGetTheirOwnResponses, ServerFixture)
{
    std::vector<boost::fibers::fiber> fibers;
    int correct = 0;
    for (int i = 0; i < 50; ++i) {
        fibers.emplace_back([&, i] {
            for (int round = 0; round < 4; ++round) {
                const std::string body = std::to_string(i) + "/" + std::to_string(round);
                const auto response = call({"POST", "/", {}, body});
                if (core::isOk(response) && core::valueOf(response).body == "POST " + body)
                    ++correct;
            }
        });
    }
    for (auto &fiber : fibers)
        fiber.join();
    BOOST_TEST(correct == 200);
}

// Guards against mistaking a truncated stream for a complete response.
BOOST_FIXTURE_TEST_CASE(truncatedStreamIsAnError, ServerFixture)
{
    const auto complete = call({"GET", "/stream", {}, ""});
    BOOST_TEST(core::valueOf(complete).body == "part0;part1;part2;");
    const auto truncated = call({"GET", "/cut", {}, ""});
    BOOST_REQUIRE(!core::isOk(truncated));
    BOOST_TEST((core::errorOf(truncated).verdict == core::Verdict::Ran));
}

// Guards against an oversized body or header that exhausts the node's memory.
BOOST_FIXTURE_TEST_CASE(oversizedRequestsAreRejected, ServerFixture)
{
    BOOST_TEST(core::valueOf(call({"POST", "/", {}, std::string(1001, 'x')})).status == 413U);
    const std::string longValue(20000, 'x');
    BOOST_TEST(core::valueOf(call({"POST", "/", {{"X-Long", longValue}}, ""})).status == 431U);
}

// Guards against a large header that ends the process when it is written to a target, and against
// a body that the library rejects for a method.
BOOST_FIXTURE_TEST_CASE(anyRequestThatWasReceivedCanBeSent, ServerFixture)
{
    server.updateLimits({.maxHeaderBytes = 131072, .maxBodyBytes = 1000});
    const std::string longValue(70000, 'x');
    BOOST_TEST(core::valueOf(call({"POST", "/", {{"X-Long", longValue}}, "body"})).body
               == "POST body");
    BOOST_TEST(core::valueOf(call({"TRACE", "/", {}, "body"})).body == "TRACE body");
}

// Guards against an exception in a completion handler that ends the process, or leaves the fiber
// that waits for the operation suspended for good.
BOOST_FIXTURE_TEST_CASE(operationThatThrowsEndsWithAnError, ServerFixture)
{
    const runtime::IoResult result = runtime::awaitIo([this](auto done) {
        boost::asio::post(fiberRuntime.ioContext(), [unused = std::move(done)] {
            throw std::length_error("an operation that throws");
        });
    });
    BOOST_TEST(result.error.failed());
    BOOST_TEST(core::valueOf(call({"POST", "/", {}, "body"})).body == "POST body");
}

// Guards against an exception in one fiber that ends the process or is taken for a fiber that still
// runs.
BOOST_FIXTURE_TEST_CASE(exceptionEndsOnlyItsFiber, ServerFixture)
{
    int ended = 0;
    {
        runtime::FiberGroup fibers;
        fibers.start([] { throw std::runtime_error("a fiber that throws"); });
        fibers.start([&ended] { ++ended; });
    }
    BOOST_TEST(ended == 1);
}

// Guards against a task that handles no more messages after one that caused an exception.
BOOST_FIXTURE_TEST_CASE(taskGoesOnAfterAnException, ServerFixture)
{
    int messages = 0;
    runtime::runTask("test", [&messages] {
        while (++messages < 5) {
            if (messages % 2 == 0)
                throw std::runtime_error("a message that throws");
        }
    });
    BOOST_TEST(messages == 5);
}

// Guards against reporting "may have run" when no connection was established.
BOOST_FIXTURE_TEST_CASE(refusedConnectionHasNotRun, ServerFixture)
{
    const auto response =
        client.call("127.0.0.1:1", {"GET", "/", {}, ""}, std::chrono::steady_clock::now() + 2s);
    BOOST_REQUIRE(!core::isOk(response));
    BOOST_TEST((core::errorOf(response).verdict == core::Verdict::NotRun));
}
