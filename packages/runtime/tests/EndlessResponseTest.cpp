#include <boost/test/unit_test.hpp>

#include <string>

#include <boost/fiber/operations.hpp>

#include "EndlessServer.h"
#include "boragerack/runtime/FiberRuntime.h"
#include "boragerack/runtime/HttpClient.h"
#include "boragerack/runtime/HttpMessage.h"
#include "boragerack/runtime/ServerSentEventSplitter.h"

namespace boragerack::runtime::testing {

namespace {

using namespace std::chrono_literals;

struct EndlessResponse
{
    const char *name;
    std::string beginning;
    std::string repeated;
};

const std::string kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

BOOST_AUTO_TEST_SUITE(EndlessResponseTest)

// Guards against a target whose answer never ends and fills the memory of the node, holds the
// request until its deadline, or is taken for an answer.
BOOST_AUTO_TEST_CASE(endlessResponsesFailWithBoundedMemory)
{
    const std::vector<EndlessResponse> responses {
        {"status line", "HTTP/1.1 200 ", "O"},
        {"no HTTP", "", "\x01\xff"},
        {"header line", "HTTP/1.1 200 OK\r\nX: ", "a"},
        {"headers", "HTTP/1.1 200 OK\r\n", "X: a\r\n"},
        {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"chunk size", kChunkedHead, "0"},
        {"chunk extension", kChunkedHead + "1;x=", "a"},
        {"trailer line", kChunkedHead + "0\r\nX: ", "a"},
        {"trailers", kChunkedHead + "0\r\n", "X: a\r\n"},
        {"body", "HTTP/1.1 200 OK\r\n\r\n", "a"},
        {"chunks", kChunkedHead, "1\r\na\r\n"},
    };
    constexpr std::size_t kMaxResponseBytes = 1024 * 1024;
    // The response itself, and what the buffers of the two sockets take before the client closes.
    constexpr std::size_t kMaxSentBytes = 48 * 1024 * 1024;
    for (const EndlessResponse &response : responses) {
        BOOST_TEST_CONTEXT(response.name)
        {
            EndlessServer server(response.beginning, response.repeated);
            FiberRuntime fibers;
            HttpClientOptions options;
            options.maxResponseBytes = kMaxResponseBytes;
            HttpClient client(fibers.ioContext(), options);
            const auto startedAt = std::chrono::steady_clock::now();
            const auto result =
                client.call(server.address(), {"GET", "/", {}, {}}, startedAt + 10s);
            BOOST_TEST((std::chrono::steady_clock::now() - startedAt < 8s));
            BOOST_TEST(!core::isOk(result));
            if (!core::isOk(result))
                BOOST_TEST((core::errorOf(result).verdict != core::Verdict::NotRun));
            BOOST_TEST(server.sentBytes() < kMaxSentBytes);
        }
    }
}

// Guards against bytes after a complete answer that are read as the answer to the next request.
BOOST_AUTO_TEST_CASE(connectionWithExcessBytesIsNotReused)
{
    EndlessServer server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                         "HTTP/1.1 200 OK\r\n"
                         "Content-Length: 1\r\n\r\nx");
    FiberRuntime fibers;
    HttpClient client(fibers.ioContext(), HttpClientOptions());
    const auto deadline = std::chrono::steady_clock::now() + 10s;
    const auto result = client.call(server.address(), {"GET", "/", {}, {}}, deadline);
    BOOST_REQUIRE(core::isOk(result));
    BOOST_TEST(core::valueOf(result).body == "ok");
    // The server accepts one connection only, so a second call can succeed only on the first one.
    const auto next = client.call(server.address(), {"GET", "/", {}, {}},
                                  std::chrono::steady_clock::now() + 300ms);
    BOOST_TEST(!core::isOk(next));
    // The cancelled exchange ends before its runtime does.
    boost::this_fiber::sleep_for(50ms);
}

// Guards against an answer that is taken for the interim response before it.
BOOST_AUTO_TEST_CASE(interimResponsesAreSkipped)
{
    EndlessServer server("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
                         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                         "x");
    FiberRuntime fibers;
    HttpClient client(fibers.ioContext(), HttpClientOptions());
    const auto result =
        client.call(server.address(), {"GET", "/", {}, {}}, std::chrono::steady_clock::now() + 10s);
    BOOST_REQUIRE(core::isOk(result));
    BOOST_TEST(core::valueOf(result).status == 200U);
    BOOST_TEST(core::valueOf(result).body == "ok");
}

// Guards against an event without an end that fills the memory of the node.
BOOST_AUTO_TEST_CASE(endlessEventIsReported)
{
    ServerSentEventSplitter splitter;
    std::size_t bytes = 0;
    for (const std::string block(1000, 'a'); !splitter.isTooLong() && bytes < 10'000'000;
         bytes += block.size())
        splitter.add(block);
    BOOST_TEST(splitter.isTooLong());
    BOOST_TEST(bytes <= 2'000'000U);
    ServerSentEventSplitter sound;
    for (int i = 0; i < 10'000; ++i)
        sound.add("data: " + std::string(1000, 'a') + "\n\n");
    BOOST_TEST(!sound.isTooLong());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::runtime::testing
