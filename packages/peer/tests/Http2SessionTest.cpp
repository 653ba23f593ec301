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

struct SessionPair
{
    explicit SessionPair(const peer::Http2Limits &limits = {}, std::size_t pieceSize = 100)
        : client(peer::Http2Role::Client, limits)
        , server(peer::Http2Role::Server, limits)
        , piece(pieceSize)
    {
    }

    /// Runs a fixed number of rounds; flow control needs one per 64 KiB.
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

// Guards against messages that are truncated, lost, or delivered on the wrong stream, for several
// sizes of the received chunks.
BOOST_AUTO_TEST_CASE(concurrentStreamsDeliverTheirOwnMessages)
{
    for (const std::size_t piece : {std::size_t(1), std::size_t(7), std::size_t(70000)}) {
        SessionPair pair({}, piece);
        std::set<std::pair<std::int32_t, std::string>> expected;
        for (int i = 0; i < 300; ++i) {
            const std::string body =
                std::to_string(i) + std::string(i % 50 == 0 ? 100000 : 20, 'x');
            expected.emplace(core::valueOf(pair.client.submitRequest(body)), body);
        }
        std::set<std::pair<std::int32_t, std::string>> received;
        for (int round = 0; round < 5 && received.size() < expected.size(); ++round) {
            pair.exchange();
            for (const auto &event : pair.server.takeEvents()) {
                const auto &message = std::get<peer::Http2Message>(event);
                pair.server.submitResponse(message.stream, 200, message.body);
            }
            pair.exchange();
            for (const auto &event : pair.client.takeEvents()) {
                const auto &message = std::get<peer::Http2Message>(event);
                BOOST_TEST(message.status == 200);
                received.emplace(message.stream, message.body);
            }
        }
        BOOST_TEST((received == expected));
        BOOST_TEST(pair.client.openStreams() == 0U);
        BOOST_TEST(pair.server.openStreams() == 0U);
    }
}

// Guards against memory exhaustion by large messages, and against a wrong verdict for them.
BOOST_AUTO_TEST_CASE(oversizedMessagesAreRefused)
{
    peer::Http2Limits small;
    small.maxMessageBytes = 1000;
    SessionPair pair(small);
    const auto refused = pair.client.submitRequest(std::string(1001, 'x'));
    BOOST_REQUIRE(!core::isOk(refused));
    BOOST_TEST((core::errorOf(refused).code == core::ErrorCode::TooLarge));

    peer::Http2Session clientWithDefaultLimits(peer::Http2Role::Client, {});
    peer::Http2Session server(peer::Http2Role::Server, small);
    BOOST_REQUIRE(core::isOk(clientWithDefaultLimits.submitRequest(std::string(5000, 'x'))));
    BOOST_REQUIRE(core::isOk(clientWithDefaultLimits.submitRequest("small")));
    transfer(clientWithDefaultLimits, server, 100);
    transfer(server, clientWithDefaultLimits, 100);
    const auto failures = clientWithDefaultLimits.takeEvents();
    BOOST_REQUIRE(failures.size() == 1);
    BOOST_TEST((failureOf(failures[0]).code == core::ErrorCode::TooLarge));
    BOOST_TEST((failureOf(failures[0]).verdict == core::Verdict::NotRun));
    BOOST_TEST(server.takeEvents().size() == 1U);
}

// Guards against Verdict::NotRun for a message that the peer may have received before the
// connection was lost.
BOOST_AUTO_TEST_CASE(verdictAfterConnectionLossDependsOnSentBytes)
{
    SessionPair pair;
    BOOST_REQUIRE(core::isOk(pair.client.submitRequest("sent")));
    pair.exchange();
    BOOST_REQUIRE(core::isOk(pair.client.submitRequest("not sent")));
    const auto failures = pair.client.failAll("connection lost");
    BOOST_REQUIRE(failures.size() == 2);
    for (const auto &event : failures) {
        const bool isFirst = std::get<peer::Http2StreamFailure>(event).stream == 1;
        BOOST_TEST((failureOf(event).verdict
                    == (isFirst ? core::Verdict::MayHaveRun : core::Verdict::NotRun)));
    }
}

// Guards against a cancelled call whose stream stays open or still delivers a reply.
BOOST_AUTO_TEST_CASE(cancelledStreamEndsOnBothSides)
{
    SessionPair pair;
    const auto stream = core::valueOf(pair.client.submitRequest("a"));
    pair.exchange();
    pair.client.cancel(stream);
    pair.exchange();
    pair.server.submitResponse(stream, 200, "late");
    pair.exchange();
    BOOST_TEST(pair.client.takeEvents().empty());
    BOOST_TEST(pair.client.openStreams() == 0U);
    BOOST_TEST(pair.server.openStreams() == 0U);
}

// Guards against accepting another protocol, and against streams opened after GOAWAY.
BOOST_AUTO_TEST_CASE(otherProtocolAndStoppedServerAreReported)
{
    peer::Http2Session server(peer::Http2Role::Server, {});
    BOOST_TEST(!core::isOk(server.receive("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));

    SessionPair pair;
    pair.exchange();
    pair.server.submitGoAway();
    pair.exchange();
    const auto late = pair.client.submitRequest("late");
    pair.exchange();
    const auto events = pair.client.takeEvents();
    if (core::isOk(late)) {
        BOOST_REQUIRE(events.size() == 1);
        BOOST_TEST((failureOf(events[0]).verdict == core::Verdict::NotRun));
    } else {
        BOOST_TEST((core::errorOf(late).verdict == core::Verdict::NotRun));
    }
}
