#include <boost/test/unit_test.hpp>

#include <set>

#include "boragerack/peer/Http2Session.h"

namespace core = boragerack::core;
namespace peer = boragerack::peer;

namespace {

/// Moves bytes in pieces of the given size from one session to the other until none is left.
void transfer(peer::Http2Session &from, peer::Http2Session &to, std::size_t piece)
{
    for (std::string bytes = from.takeOutput(65536); !bytes.empty();
         bytes = from.takeOutput(65536)) {
        for (std::size_t i = 0; i < bytes.size(); i += piece)
            BOOST_REQUIRE(core::isOk(to.receive(std::string_view(bytes).substr(i, piece))));
    }
}

struct Pipe
{
    explicit Pipe(const peer::Http2Limits &limits = {}, std::size_t pieceSize = 100)
        : client(peer::Http2Role::Client, limits)
        , server(peer::Http2Role::Server, limits)
        , piece(pieceSize)
    {
    }

    /// Rounds are bounded; flow control needs one for each 64 KiB.
    void exchange()
    {
        for (int i = 0; i < 100; ++i) {
            transfer(client, server, piece);
            transfer(server, client, piece);
        }
    }

    peer::Http2Session client;
    peer::Http2Session server;
    std::size_t piece;
};

const core::Error &failureOf(const peer::Http2Event &event)
{
    return std::get<peer::Http2StreamFailure>(event).error;
}

} // namespace

// Guards against a message that is cut, mixed up between streams, or lost, whatever the size of the
// pieces in which its bytes arrive.
BOOST_AUTO_TEST_CASE(manyStreamsCarryTheirOwnMessages)
{
    for (const std::size_t piece : {std::size_t(1), std::size_t(7), std::size_t(70000)}) {
        Pipe pipe({}, piece);
        std::set<std::pair<std::int32_t, std::string>> expected;
        for (int i = 0; i < 300; ++i) {
            const std::string body =
                std::to_string(i) + std::string(i % 50 == 0 ? 100000 : 20, 'x');
            expected.emplace(core::valueOf(pipe.client.submitRequest(body)), body);
        }
        std::set<std::pair<std::int32_t, std::string>> received;
        for (int round = 0; round < 5 && received.size() < expected.size(); ++round) {
            pipe.exchange();
            for (const auto &event : pipe.server.takeEvents()) {
                const auto &message = std::get<peer::Http2Message>(event);
                pipe.server.submitResponse(message.stream, 200, message.body);
            }
            pipe.exchange();
            for (const auto &event : pipe.client.takeEvents()) {
                const auto &message = std::get<peer::Http2Message>(event);
                BOOST_TEST(message.status == 200);
                received.emplace(message.stream, message.body);
            }
        }
        BOOST_TEST((received == expected));
        BOOST_TEST(pipe.client.openStreams() == 0U);
        BOOST_TEST(pipe.server.openStreams() == 0U);
    }
}

// Guards against memory exhaustion by large messages, and against a wrong verdict for them.
BOOST_AUTO_TEST_CASE(oversizedMessagesAreRefused)
{
    peer::Http2Limits small;
    small.maxMessageBytes = 1000;
    Pipe pipe(small);
    const auto refused = pipe.client.submitRequest(std::string(1001, 'x'));
    BOOST_REQUIRE(!core::isOk(refused));
    BOOST_TEST((core::errorOf(refused).code == core::ErrorCode::TooLarge));

    peer::Http2Session careless(peer::Http2Role::Client, {});
    peer::Http2Session server(peer::Http2Role::Server, small);
    BOOST_REQUIRE(core::isOk(careless.submitRequest(std::string(5000, 'x'))));
    BOOST_REQUIRE(core::isOk(careless.submitRequest("small")));
    transfer(careless, server, 100);
    transfer(server, careless, 100);
    const auto failures = careless.takeEvents();
    BOOST_REQUIRE(failures.size() == 1);
    BOOST_TEST((failureOf(failures[0]).code == core::ErrorCode::TooLarge));
    BOOST_TEST((failureOf(failures[0]).verdict == core::Verdict::NotRun));
    BOOST_TEST(server.takeEvents().size() == 1U);
}

// Guards against "not run" for a message that may have arrived when the connection breaks.
BOOST_AUTO_TEST_CASE(verdictAfterLostConnectionFollowsWhatWasSent)
{
    Pipe pipe;
    BOOST_REQUIRE(core::isOk(pipe.client.submitRequest("sent")));
    pipe.exchange();
    BOOST_REQUIRE(core::isOk(pipe.client.submitRequest("not sent")));
    const auto failures = pipe.client.failAll("connection lost");
    BOOST_REQUIRE(failures.size() == 2);
    for (const auto &event : failures) {
        const bool isFirst = std::get<peer::Http2StreamFailure>(event).stream == 1;
        BOOST_TEST((failureOf(event).verdict
                    == (isFirst ? core::Verdict::MayHaveRun : core::Verdict::NotRun)));
    }
}

// Guards against a cancelled call that keeps its stream, or is still answered.
BOOST_AUTO_TEST_CASE(cancelledStreamEndsOnBothSides)
{
    Pipe pipe;
    const auto stream = core::valueOf(pipe.client.submitRequest("a"));
    pipe.exchange();
    pipe.client.cancel(stream);
    pipe.exchange();
    pipe.server.submitResponse(stream, 200, "late");
    pipe.exchange();
    BOOST_TEST(pipe.client.takeEvents().empty());
    BOOST_TEST(pipe.client.openStreams() == 0U);
    BOOST_TEST(pipe.server.openStreams() == 0U);
}

// Guards against a peer that speaks another protocol, and against streams opened after a stop.
BOOST_AUTO_TEST_CASE(otherProtocolAndStoppedServerAreReported)
{
    peer::Http2Session server(peer::Http2Role::Server, {});
    BOOST_TEST(!core::isOk(server.receive("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));

    Pipe pipe;
    pipe.exchange();
    pipe.server.submitGoAway();
    pipe.exchange();
    const auto late = pipe.client.submitRequest("late");
    pipe.exchange();
    const auto events = pipe.client.takeEvents();
    if (core::isOk(late)) {
        BOOST_REQUIRE(events.size() == 1);
        BOOST_TEST((failureOf(events[0]).verdict == core::Verdict::NotRun));
    } else {
        BOOST_TEST((core::errorOf(late).verdict == core::Verdict::NotRun));
    }
}
