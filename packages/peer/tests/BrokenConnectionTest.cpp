#include <boost/test/unit_test.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/fiber.hpp>

#include "LinkLifecycle.h"
#include "PeerFixture.h"
#include "boragerack/peer/Http2Session.h"
#include "boragerack/runtime/Address.h"
#include "boragerack/runtime/Await.h"
#include "boragerack/runtime/Mailbox.h"

using namespace boragerack;
using namespace boragerack::peer;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// Accepts connections, reads at most `bytes` bytes from each and sends nothing. Then closes the
/// connection or keeps it open.
struct UnresponsivePeer
{
    UnresponsivePeer(boost::asio::io_context &ioContext, std::size_t bytes, bool closesConnections)
        : acceptor(ioContext, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , address(runtime::formatEndpoint(acceptor.local_endpoint()))
        , fiber([this, &ioContext, bytes, closesConnections] {
            for (;;) {
                tcp::socket socket(ioContext);
                const auto accepted = runtime::awaitIo(
                    [&](auto handler) { acceptor.async_accept(socket, std::move(handler)); });
                if (accepted.error)
                    return;
                std::vector<char> buffer(bytes);
                runtime::awaitIo([&](auto handler) {
                    socket.async_read_some(boost::asio::buffer(buffer), std::move(handler));
                });
                if (!closesConnections)
                    sockets.push_back(std::move(socket));
                ++connections;
            }
        })
    {
    }

    ~UnresponsivePeer()
    {
        acceptor.close();
        fiber.join();
    }

    tcp::acceptor acceptor;
    std::string address;
    std::vector<tcp::socket> sockets;
    int connections = 0;
    boost::fibers::fiber fiber;
};

/// Sends the bytes over a new connection and waits 50 ms for the server to handle them.
void sendRaw(boost::asio::io_context &ioContext, const std::string &address,
             const std::string &bytes)
{
    tcp::socket socket(ioContext);
    socket.connect(*runtime::parseEndpoint(address));
    boost::asio::write(socket, boost::asio::buffer(bytes));
    boost::this_fiber::sleep_for(50ms);
}

} // namespace

// Guards against sessions that work only when client and server run in one call stack.
BOOST_AUTO_TEST_CASE(sessionsInTwoFibersExchangeMessages)
{
    runtime::FiberRuntime fiberRuntime;
    runtime::Mailbox<std::string> toServer(8);
    runtime::Mailbox<std::string> toClient(8);
    boost::fibers::fiber serverFiber([&] {
        Http2Session session(Http2Role::Server, {});
        while (const auto bytes = toServer.receive()) {
            BOOST_REQUIRE(core::isOk(session.receive(*bytes)));
            for (const auto &event : session.takeEvents()) {
                const auto &message = std::get<Http2Message>(event);
                session.submitResponse(message.stream, 200, "answer to " + message.body);
            }
            if (const std::string output = session.takeOutput(1 << 16); !output.empty())
                BOOST_REQUIRE(toClient.send(output));
        }
    });
    Http2Session session(Http2Role::Client, {});
    for (int i = 0; i < 10; ++i) {
        BOOST_REQUIRE(core::isOk(session.submitRequest(std::to_string(i))));
        std::vector<Http2Event> events;
        while (events.empty()) {
            if (const std::string output = session.takeOutput(1 << 16); !output.empty())
                BOOST_REQUIRE(toServer.send(output));
            const auto bytes = toClient.receiveUntil(deadlineIn(2s));
            BOOST_REQUIRE(bytes.has_value());
            BOOST_REQUIRE(core::isOk(session.receive(*bytes)));
            events = session.takeEvents();
        }
        BOOST_TEST(std::get<Http2Message>(events[0]).body == "answer to " + std::to_string(i));
    }
    toServer.close();
    serverFiber.join();
}

// Guards against handling a recorded message again, on the same or on another connection.
BOOST_AUTO_TEST_CASE(replayedMessageIsHandledOnce)
{
    PeerFixture fixture;
    const auto signedMessage =
        makeAuthenticator("a")->signRequest(core::InstanceId {"b"}, 1, makeBudgetRequest(1));
    Http2Session session(Http2Role::Client, {});
    BOOST_REQUIRE(core::isOk(session.submitRequest(signedMessage.bytes)));
    BOOST_REQUIRE(core::isOk(session.submitRequest(signedMessage.bytes)));
    const std::string recorded = session.takeOutput(1 << 16);
    for (int i = 0; i < 3; ++i)
        sendRaw(fixture.fiberRuntime.ioContext(), fixture.address, recorded);
    BOOST_TEST(fixture.handler.handled == 1);
}

// Guards against handling an incomplete message, and against a server that fails when it receives
// another protocol.
BOOST_AUTO_TEST_CASE(incompleteMessagesAreNotHandled)
{
    PeerFixture fixture;
    const auto signedMessage =
        makeAuthenticator("a")->signRequest(core::InstanceId {"b"}, 1, makeBudgetRequest(1));
    Http2Session session(Http2Role::Client, {});
    BOOST_REQUIRE(core::isOk(session.submitRequest(signedMessage.bytes)));
    const std::string complete = session.takeOutput(1 << 16);
    sendRaw(fixture.fiberRuntime.ioContext(), fixture.address,
            complete.substr(0, complete.size() - 1));
    sendRaw(fixture.fiberRuntime.ioContext(), fixture.address, "GET / HTTP/1.1\r\n\r\n");
    BOOST_TEST(fixture.handler.handled == 0);
    BOOST_TEST(fixture.server->connectionCount() == 0U);
    BOOST_TEST(sequenceOf(fixture.makeLink()->call(makeBudgetRequest(2), deadlineIn(2s))) == 2U);
}

// Guards against calls that hang, or are reported as not run, when the peer closes the connection.
BOOST_AUTO_TEST_CASE(closedConnectionFailsItsCalls)
{
    PeerFixture fixture;
    UnresponsivePeer closingPeer(fixture.fiberRuntime.ioContext(), 30, true);
    const auto link = fixture.makeLink({}, closingPeer.address);
    const auto answer = link->call(makeBudgetRequest(1), deadlineIn(5s));
    BOOST_REQUIRE(!core::isOk(answer));
    BOOST_TEST((core::errorOf(answer).code == core::ErrorCode::ConnectionFailed));
    BOOST_TEST((core::errorOf(answer).verdict == core::Verdict::MayHaveRun));
}

// Guards against a link that keeps a connection on which no data is received.
BOOST_AUTO_TEST_CASE(unresponsiveConnectionIsReplaced)
{
    PeerFixture fixture;
    UnresponsivePeer unresponsivePeer(fixture.fiberRuntime.ioContext(), 1, false);
    PeerLinkOptions options;
    options.keepaliveInterval = 50ms;
    options.keepaliveTimeout = 50ms;
    const auto link = fixture.makeLink(options, unresponsivePeer.address);
    const auto start = std::chrono::steady_clock::now();
    const auto answer = link->call(makeBudgetRequest(1), deadlineIn(5s));
    const auto elapsed = std::chrono::steady_clock::now() - start;
    BOOST_REQUIRE(!core::isOk(answer));
    BOOST_TEST((core::errorOf(answer).verdict == core::Verdict::MayHaveRun));
    BOOST_TEST((elapsed >= 100ms && elapsed < 1s));
    boost::this_fiber::sleep_for(50ms);
    BOOST_TEST(unresponsivePeer.connections == 2);
}

// Guards against replacing a connection whose peer is reachable but slow to reply.
BOOST_AUTO_TEST_CASE(slowReplyDoesNotReplaceConnection)
{
    PeerFixture fixture;
    std::vector<boost::fibers::fiber> fibers;
    fixture.handler.other = [&](const Envelope &, PeerResponder reply) {
        fibers.emplace_back([reply = std::move(reply)]() mutable {
            boost::this_fiber::sleep_for(400ms);
            reply.sendReply(decisions::ProbeReport {});
        });
    };
    PeerLinkOptions options;
    options.keepaliveInterval = 50ms;
    options.keepaliveTimeout = 50ms;
    const auto link = fixture.makeLink(options);
    BOOST_TEST(core::isOk(link->call(decisions::ProbeRequest {}, deadlineIn(5s))));
    BOOST_TEST(link->statistics().connections == 1U);
    for (auto &fiber : fibers)
        fiber.join();
}

// Guards against reconnecting without backoff, or not reconnecting at all.
BOOST_AUTO_TEST_CASE(backoffGrowsAndIsResetByAnAnswer)
{
    core::SeededRandomSource random(1);
    const auto binding = core::takeValue(loadLinkBinding(BORAGERACK_CHARTS_DIR));
    PeerLinkOptions options;
    LinkLifecycle lifecycle(binding, options, random);
    core::TimePoint now = std::chrono::steady_clock::now();
    std::chrono::milliseconds longest {0};
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST((lifecycle.handle(PeerLinkChartEvent::MessageQueued, now)
                    == std::vector {PeerLinkChartAction::OpenConnection}));
        lifecycle.handle(PeerLinkChartEvent::ConnectFailed, now);
        BOOST_TEST((lifecycle.handle(PeerLinkChartEvent::MessageQueued, now)
                    == std::vector {PeerLinkChartAction::FailPending}));
        const auto wait = lifecycle.retryAfter(now);
        BOOST_TEST((wait >= options.firstBackoff / 2 && wait <= options.maxBackoff));
        longest = std::max(longest, wait);
        now += wait;
        lifecycle.advance(now, std::nullopt);
        BOOST_TEST((lifecycle.state() == LinkState::Idle));
    }
    BOOST_TEST((longest >= options.maxBackoff / 2));
    lifecycle.handle(PeerLinkChartEvent::MessageQueued, now);
    lifecycle.handle(PeerLinkChartEvent::Connected, now);
    lifecycle.handle(PeerLinkChartEvent::Answered, now);
    lifecycle.handle(PeerLinkChartEvent::Lost, now);
    BOOST_TEST((lifecycle.retryAfter(now) <= options.firstBackoff));
}
