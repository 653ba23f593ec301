#include <boost/test/unit_test.hpp>

#include <boost/fiber/fiber.hpp>

#include "PeerFixture.h"
#include "boragerack/peer/PeerNetwork.h"

using namespace boragerack;
using namespace boragerack::peer;
using namespace std::chrono_literals;

namespace {

decisions::ConfigUpdate makeLargeUpdate(std::size_t size)
{
    decisions::ConfigUpdate message;
    message.update.changed.push_back({"plans/a", std::string(size, 'x')});
    return message;
}

} // namespace

// Guards against a call that does not reach the handler, or a reply from the wrong sender.
BOOST_AUTO_TEST_CASE(callIsAnsweredOverLoopback)
{
    PeerFixture fixture;
    const auto link = fixture.makeLink();
    const auto answer = link->call(makeBudgetRequest(5), deadlineIn(2s));
    BOOST_TEST(sequenceOf(answer) == 5U);
    BOOST_TEST(core::valueOf(answer).sender.value == "b");
    BOOST_TEST(core::isOk(link->send(decisions::Heartbeat {})));
    BOOST_TEST(sequenceOf(link->call(makeBudgetRequest(6), deadlineIn(2s))) == 6U);
    BOOST_TEST(fixture.handler.handled == 3);
    BOOST_TEST(link->statistics().connections == 1U);
}

// Guards against answers that reach the wrong caller when many calls share a connection and the
// handler answers late and out of order.
BOOST_AUTO_TEST_CASE(concurrentCallsReceiveTheirOwnReplies)
{
    PeerFixture fixture;
    std::vector<std::pair<PeerResponder, std::uint64_t>> waiting;
    fixture.handler.other = [&](const Envelope &request, PeerResponder reply) {
        const auto sequence = std::get<decisions::ProbeRequest>(request.body).sequence;
        waiting.emplace_back(std::move(reply), sequence);
        if (waiting.size() < 200)
            return;
        for (auto i = waiting.rbegin(); i != waiting.rend(); ++i)
            i->first.sendReply(decisions::ProbeReport {i->second, {}});
    };
    const auto link = fixture.makeLink();
    std::vector<boost::fibers::fiber> callers;
    int matching = 0;
    for (std::uint64_t i = 0; i < 200; ++i) {
        callers.emplace_back([&, i] {
            const auto answer = link->call(decisions::ProbeRequest {i}, deadlineIn(5s));
            if (core::isOk(answer)
                && std::get<decisions::ProbeReport>(core::valueOf(answer).body).sequence == i)
                ++matching;
        });
    }
    for (auto &caller : callers)
        caller.join();
    BOOST_TEST(matching == 200);
}

// Guards against handling a message signed with another secret.
BOOST_AUTO_TEST_CASE(messageWithWrongSecretIsRejected)
{
    PeerFixture fixture;
    const auto link = fixture.makeLink({}, {}, "the secret of another fleet");
    const auto answer = link->call(makeBudgetRequest(1), deadlineIn(2s));
    BOOST_REQUIRE(!core::isOk(answer));
    BOOST_TEST((core::errorOf(answer).code == core::ErrorCode::Unauthenticated));
    BOOST_TEST(fixture.handler.handled == 0);
}

// Guards against an oversized message that closes the connection for other messages.
BOOST_AUTO_TEST_CASE(oversizedMessageDoesNotCloseConnection)
{
    PeerServerOptions options;
    options.http2.maxMessageBytes = 100000;
    PeerFixture fixture(options);
    const auto link = fixture.makeLink();
    BOOST_TEST(sequenceOf(link->call(makeBudgetRequest(1), deadlineIn(2s))) == 1U);
    for (const std::size_t size : {std::size_t(200000), std::size_t(3000000)}) {
        const auto answer = link->call(makeLargeUpdate(size), deadlineIn(2s));
        BOOST_REQUIRE(!core::isOk(answer));
        BOOST_TEST((core::errorOf(answer).code == core::ErrorCode::TooLarge));
        BOOST_TEST((core::errorOf(answer).verdict == core::Verdict::NotRun));
    }
    BOOST_TEST(sequenceOf(link->call(makeBudgetRequest(2), deadlineIn(2s))) == 2U);
    BOOST_TEST(link->statistics().connections == 1U);
}

// Guards against a caller that waits beyond its deadline for a handler that never answers, and
// against streams that stay open after it.
BOOST_AUTO_TEST_CASE(deadlineIsRespected)
{
    PeerFixture fixture;
    std::vector<PeerResponder> unansweredResponders;
    fixture.handler.other = [&](const Envelope &, PeerResponder reply) {
        unansweredResponders.push_back(std::move(reply));
    };
    PeerLinkOptions options;
    options.http2.maxConcurrentStreams = 2;
    const auto link = fixture.makeLink(options);
    for (int i = 0; i < 5; ++i) {
        const auto start = std::chrono::steady_clock::now();
        const auto answer = link->call(decisions::ProbeRequest {}, deadlineIn(50ms));
        const auto elapsed = std::chrono::steady_clock::now() - start;
        BOOST_REQUIRE(!core::isOk(answer));
        BOOST_TEST((core::errorOf(answer).code == core::ErrorCode::DeadlineExceeded));
        BOOST_TEST((core::errorOf(answer).verdict == core::Verdict::MayHaveRun));
        BOOST_TEST((elapsed >= 50ms && elapsed < 500ms));
    }
    BOOST_TEST(fixture.handler.handled == 5);
    const auto late = link->call(makeBudgetRequest(1), deadlineIn(-1ms));
    BOOST_REQUIRE(!core::isOk(late));
    BOOST_TEST((core::errorOf(late).verdict == core::Verdict::NotRun));
    BOOST_TEST(sequenceOf(link->call(makeBudgetRequest(2), deadlineIn(2s))) == 2U);
}

// Guards against a mailbox that grows without bound or drops a message without an error.
BOOST_AUTO_TEST_CASE(fullMailboxReturnsQueueFull)
{
    PeerFixture fixture;
    PeerLinkOptions options;
    options.mailboxCapacity = 4;
    const auto link = fixture.makeLink(options);
    int accepted = 0;
    core::Result<core::Nothing> refusal;
    // The link's task does not run until this fiber blocks.
    for (int i = 0; i < 10; ++i) {
        const auto result = link->send(decisions::Heartbeat {});
        if (core::isOk(result))
            ++accepted;
        else
            refusal = result;
    }
    BOOST_TEST(accepted == 3);
    BOOST_REQUIRE(!core::isOk(refusal));
    BOOST_TEST((core::errorOf(refusal).code == core::ErrorCode::QueueFull));
    BOOST_TEST((core::errorOf(refusal).verdict == core::Verdict::NotRun));
    BOOST_TEST(core::errorOf(refusal).retryAfter > 0ms);
}

// Guards against a server that buffers without bound while its handler is busy.
BOOST_AUTO_TEST_CASE(fullInboxReturnsQueueFull)
{
    PeerServerOptions serverOptions;
    serverOptions.inboxCapacity = 4;
    PeerFixture fixture(serverOptions);
    fixture.handler.other = [](const Envelope &, PeerResponder reply) {
        boost::this_fiber::sleep_for(20ms);
        reply.sendReply(decisions::ProbeReport {});
    };
    const auto link = fixture.makeLink();
    int answered = 0;
    int refused = 0;
    std::vector<boost::fibers::fiber> callers;
    for (int i = 0; i < 40; ++i) {
        callers.emplace_back([&] {
            const auto answer = link->call(decisions::ProbeRequest {}, deadlineIn(5s));
            if (core::isOk(answer))
                ++answered;
            else if (core::errorOf(answer).code == core::ErrorCode::QueueFull
                     && core::errorOf(answer).verdict == core::Verdict::NotRun)
                ++refused;
        });
    }
    for (auto &caller : callers)
        caller.join();
    BOOST_TEST(answered + refused == 40);
    BOOST_TEST(refused > 0);
    BOOST_TEST(fixture.handler.handled == answered);
}

// Guards against a link that stays broken after its peer was restarted, and against a wrong
// verdict while the peer is down.
BOOST_AUTO_TEST_CASE(linkRecoversAfterPeerRestart)
{
    PeerFixture fixture;
    const auto link = fixture.makeLink();
    BOOST_TEST(sequenceOf(link->call(makeBudgetRequest(1), deadlineIn(2s))) == 1U);
    fixture.server.reset();
    const auto failed = link->call(makeBudgetRequest(2), deadlineIn(2s));
    BOOST_REQUIRE(!core::isOk(failed));
    BOOST_TEST((core::errorOf(failed).code == core::ErrorCode::ConnectionFailed));
    BOOST_TEST((core::errorOf(failed).verdict == core::Verdict::NotRun));
    BOOST_TEST(core::errorOf(failed).retryAfter > 0ms);

    fixture.startServer(fixture.address, 8);
    core::Result<Envelope> answer;
    for (int i = 0; i < 100; ++i) {
        answer = link->call(makeBudgetRequest(3), deadlineIn(2s));
        if (core::isOk(answer))
            break;
        boost::this_fiber::sleep_for(10ms);
    }
    BOOST_TEST(sequenceOf(answer) == 3U);
    BOOST_TEST(core::valueOf(answer).incarnation == 8U);
}

// Guards against lost calls, leaked tasks and reused counters when members are removed and added.
BOOST_AUTO_TEST_CASE(networkUpdatesLinksWhenMembersChange)
{
    PeerFixture fixture;
    PeerNetwork network(fixture.fiberRuntime.ioContext(), makeAuthenticator("a"), {},
                        fixture.charts, fixture.random);
    const core::InstanceId b {"b"};
    const auto unknown = network.call(b, makeBudgetRequest(1), deadlineIn(1s));
    BOOST_REQUIRE(!core::isOk(unknown));
    BOOST_TEST((core::errorOf(unknown).code == core::ErrorCode::NotFound));
    for (std::uint64_t i = 0; i < 5; ++i) {
        network.updatePeer(b, fixture.address);
        BOOST_TEST(sequenceOf(network.call(b, makeBudgetRequest(i), deadlineIn(1s))) == i);
        network.removePeer(b);
        BOOST_TEST(!core::isOk(network.send(b, decisions::Heartbeat {})));
    }
    BOOST_TEST(network.linkCount() == 0U);
    BOOST_TEST(network.statistics().messages == 5U);
}
