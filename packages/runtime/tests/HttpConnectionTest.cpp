#include <boost/test/unit_test.hpp>

#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>

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

/// Counts requests and disconnects; responds to /slow after 200 ms.
class CountingHandler final : public HttpHandler
{
public:
    void handle(const HttpRequest &request, HttpResponder &responder) override
    {
        ++requests;
        responder.setDisconnectCallback([this] { ++disconnects; });
        if (pathOf(request) == "/slow")
            boost::this_fiber::sleep_for(200ms);
        responder.send({200, {}, "ok"});
    }

    int requests = 0;
    int disconnects = 0;
};

struct Fixture
{
    Fixture()
        : server(fibers.ioContext(), handler, HttpLimits())
        , address(core::valueOf(server.listen("127.0.0.1:0")))
        , socket(fibers.ioContext())
    {
        const auto endpoint = *parseEndpoint(address);
        awaitIo([&](auto done) { socket.async_connect(endpoint, std::move(done)); });
    }

    void write(const std::string &text)
    {
        awaitIo([&](auto done) {
            boost::asio::async_write(socket, boost::asio::buffer(text), std::move(done));
        });
    }

    /// Data that arrives within 50 ms.
    std::string read()
    {
        boost::this_fiber::sleep_for(50ms);
        std::string text(4096, '\0');
        boost::system::error_code error;
        socket.non_blocking(true);
        text.resize(socket.read_some(boost::asio::buffer(text), error));
        return text;
    }

    std::string sendAndRead(const std::string &text)
    {
        write(text);
        return read();
    }

    FiberRuntime fibers;
    CountingHandler handler;
    HttpServer server;
    std::string address;
    tcp::socket socket;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpConnectionTest, Fixture)

// Guards against request smuggling by an ambiguous body length.
BOOST_AUTO_TEST_CASE(ambiguousLengthsAreRejected)
{
    const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
    for (const std::string &head :
         {std::string("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
          std::string("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"),
          std::string("Transfer-Encoding: gzip\r\n"),
          std::string("Transfer-Encoding: xchunked\r\n"),
          std::string("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
          std::string("Content-Length: 5\r\nContent-Length: 6\r\n"),
          std::string("Content-Length: +5\r\n"), std::string("Content-Length: 5, 5\r\n")}) {
        tcp::socket fresh(fibers.ioContext());
        awaitIo([&](auto done) { fresh.async_connect(*parseEndpoint(address), std::move(done)); });
        socket = std::move(fresh);
        const int before = handler.requests;
        const std::string answer =
            sendAndRead("POST /a HTTP/1.1\r\nHost: h\r\n" + head + "\r\n0\r\n\r\n" + hidden);
        BOOST_TEST_CONTEXT(head)
        {
            BOOST_TEST(answer.find("200 OK") == std::string::npos);
            BOOST_TEST(handler.requests == before);
        }
    }
}

// Guards against accepting line endings and targets that another HTTP parser reads differently.
BOOST_AUTO_TEST_CASE(malformedRequestsAreRejected)
{
    for (const std::string &text : {std::string("GET /a HTTP/1.1\nHost: h\n\n"),
                                    std::string("GET http://other/a HTTP/1.1\r\nHost: h\r\n\r\n"),
                                    std::string("GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n"),
                                    std::string("GET /a HTTP/1.1\r\nHost : h\r\n\r\n")}) {
        tcp::socket fresh(fibers.ioContext());
        awaitIo([&](auto done) { fresh.async_connect(*parseEndpoint(address), std::move(done)); });
        socket = std::move(fresh);
        const int before = handler.requests;
        BOOST_TEST_CONTEXT(text)
        {
            BOOST_TEST(sendAndRead(text).find("200 OK") == std::string::npos);
            BOOST_TEST(handler.requests == before);
        }
    }
}

// Guards against pipelined requests that are lost or mistaken for a disconnect of the caller.
BOOST_AUTO_TEST_CASE(pipelinedRequestsAreServedInOrder)
{
    const std::string one = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n";
    write(one + one);
    boost::this_fiber::sleep_for(500ms);
    BOOST_TEST(handler.requests == 2);
    BOOST_TEST(handler.disconnects == 0);
}

// Guards against work that continues after its caller has disconnected.
BOOST_AUTO_TEST_CASE(disconnectIsDetected)
{
    write("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
    boost::this_fiber::sleep_for(50ms);
    socket.close();
    boost::this_fiber::sleep_for(50ms);
    BOOST_TEST(handler.disconnects == 1);
    boost::this_fiber::sleep_for(200ms);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::runtime::testing
