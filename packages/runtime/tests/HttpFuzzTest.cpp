#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>

#include "boragerack/core/SeededRandomSource.h"
#include "boragerack/runtime/Address.h"
#include "boragerack/runtime/Await.h"
#include "boragerack/runtime/FiberRuntime.h"
#include "boragerack/runtime/HttpHandler.h"
#include "boragerack/runtime/HttpMessage.h"
#include "boragerack/runtime/HttpResponder.h"
#include "boragerack/runtime/HttpServer.h"

namespace boragerack::runtime::testing {

namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

/// Number of inputs per run unless BORAGERACK_FUZZ_INPUTS sets another one.
constexpr int kDefaultInputCount = 400;

/// Records the targets of the requests and the size of the largest body.
class RecordingHandler final : public HttpHandler
{
public:
    void handle(const HttpRequest &request, HttpResponder &responder) override
    {
        targets.push_back(request.target);
        largestBody = std::max(largestBody, request.body.size());
        responder.send({200, {}, "ok"});
    }

    std::vector<std::string> targets;
    std::size_t largestBody = 0;
};

/// Generates pipelined requests with invalid framing, bodies that look like requests, and random
/// mutations of the bytes.
class InputGenerator
{
public:
    explicit InputGenerator(std::uint64_t seed)
        : random_(seed)
    {
    }

    std::string generate()
    {
        std::string input;
        const std::uint64_t count = 1 + random_.next() % 3;
        for (std::uint64_t i = 0; i < count; ++i)
            input += request();
        const std::uint64_t mutationCount = random_.next() % 4;
        for (std::uint64_t i = 0; i < mutationCount; ++i)
            mutate(input);
        return input;
    }

private:
    std::string pick(const std::vector<std::string> &choices)
    {
        return choices[random_.next() % choices.size()];
    }

    std::string request()
    {
        const std::string body = pick({"", "x", "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"});
        const std::string length = std::to_string(body.size());
        const std::string chunked =
            body.empty() ? "0\r\n\r\n" : hexOf(body.size()) + "\r\n" + body + "\r\n0\r\n\r\n";
        const std::string head = pick({"GET", "POST", "PUT", "get", "G ET"}) + " /"
            + pick({"a", "b"}) + pick({" HTTP/1.1\r\n", " HTTP/1.0\r\n", " HTTP/9.9\r\n", "\r\n"})
            + pick({"Host: h\r\n", "Host: h\r\nHost: i\r\n", " Host: h\r\n", "Host : h\r\n", ""});
        switch (random_.next() % 8) {
        case 0:
            return head + "Transfer-Encoding: chunked\r\n\r\n" + chunked;
        case 1:
            return head + "Content-Length: " + length + "\r\nTransfer-Encoding: chunked\r\n\r\n"
                + chunked;
        case 2:
            return head + "Content-Length: " + pick({"+", "-", "0x", " ", "99999999999999999999"})
                + length + "\r\n\r\n" + body;
        case 3:
            return head + "Content-Length: " + length + "\r\nContent-Length: 1\r\n\r\n" + body;
        case 4:
            return head + "Transfer-Encoding: "
                + pick({"xchunked", "chunked, identity", "\tchunked"}) + "\r\n\r\n" + chunked;
        default:
            return head + "Content-Length: " + length + "\r\n\r\n" + body;
        }
    }

    static std::string hexOf(std::size_t value)
    {
        constexpr char kDigits[] = "0123456789abcdef";
        std::string text;
        for (; value > 0; value /= 16)
            text.insert(text.begin(), kDigits[value % 16]);
        return text;
    }

    void mutate(std::string &input)
    {
        const std::size_t position = random_.next() % input.size();
        switch (random_.next() % 5) {
        case 0:
            input.erase(position, 1 + random_.next() % 4);
            break;
        case 1:
            input.insert(position,
                         pick({"\r", "\n", std::string(1, '\0'), "\r\n\r\n", ":", ";",
                               std::string(20'000, 'x')}));
            break;
        case 2:
            input[position] = static_cast<char>(random_.next() % 256);
            break;
        case 3:
            input += input.substr(position);
            break;
        default:
            input.resize(position);
            break;
        }
        if (input.empty())
            input = "x";
    }

    core::SeededRandomSource random_;
};

int inputCount()
{
    const char *text = std::getenv("BORAGERACK_FUZZ_INPUTS");
    return text ? std::atoi(text) : kDefaultInputCount;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpFuzzTest)

// Guards against input that terminates the process, exceeds the limits, or prevents the server from
// responding to the next caller.
BOOST_AUTO_TEST_CASE(serverRespondsAfterArbitraryInput)
{
    FiberRuntime fibers;
    RecordingHandler handler;
    HttpLimits limits;
    limits.maxHeaderBytes = 8 * 1024;
    limits.maxBodyBytes = 4 * 1024;
    HttpServer server(fibers.ioContext(), handler, limits);
    const auto endpoint = *parseEndpoint(core::valueOf(server.listen("127.0.0.1:0")));
    InputGenerator generator(20261204);
    for (int i = 0; i < inputCount(); ++i) {
        tcp::socket socket(fibers.ioContext());
        awaitIo([&](auto done) { socket.async_connect(endpoint, std::move(done)); });
        const std::string input = generator.generate();
        awaitIo([&](auto done) {
            boost::asio::async_write(socket, boost::asio::buffer(input), std::move(done));
        });
        boost::this_fiber::sleep_for(1ms);
    }
    BOOST_TEST(handler.largestBody <= limits.maxBodyBytes);
    BOOST_TEST(!handler.targets.empty());
    tcp::socket socket(fibers.ioContext());
    awaitIo([&](auto done) { socket.async_connect(endpoint, std::move(done)); });
    const std::string last = "GET /last HTTP/1.1\r\nHost: h\r\n\r\n";
    awaitIo([&](auto done) {
        boost::asio::async_write(socket, boost::asio::buffer(last), std::move(done));
    });
    boost::this_fiber::sleep_for(50ms);
    BOOST_TEST(handler.targets.back() == "/last");
}

// Guards against executing a request that is smuggled in the body of another one.
BOOST_AUTO_TEST_CASE(ambiguousFramingHidesNoRequest)
{
    const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string length = std::to_string(hidden.size());
    const std::vector<std::string> framings {
        "Content-Length: 0\r\nContent-Length: " + length + "\r\n",
        "Content-Length: " + length + "\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding : chunked\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Content-Length: +" + length + "\r\n",
        "Content-Length: 0x10\r\n",
        "Content-Length : 0\r\n",
        "Content-Length: 0, 0\r\n",
        " Content-Length: 0\r\n",
    };
    FiberRuntime fibers;
    RecordingHandler handler;
    HttpServer server(fibers.ioContext(), handler, HttpLimits());
    const auto endpoint = *parseEndpoint(core::valueOf(server.listen("127.0.0.1:0")));
    for (const std::string &framing : framings) {
        BOOST_TEST_CONTEXT(framing)
        {
            handler.targets.clear();
            tcp::socket socket(fibers.ioContext());
            awaitIo([&](auto done) { socket.async_connect(endpoint, std::move(done)); });
            const std::string input =
                "POST /a HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n" + "0\r\n\r\n" + hidden;
            awaitIo([&](auto done) {
                boost::asio::async_write(socket, boost::asio::buffer(input), std::move(done));
            });
            boost::this_fiber::sleep_for(20ms);
            BOOST_TEST(std::ranges::count(handler.targets, "/hidden") == 0);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::runtime::testing
