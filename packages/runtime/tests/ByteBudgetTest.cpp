#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include "EndlessServer.h"
#include "boragerack/runtime/ByteBudget.h"
#include "boragerack/runtime/ByteReservation.h"
#include "boragerack/runtime/FiberRuntime.h"
#include "boragerack/runtime/HttpClient.h"
#include "boragerack/runtime/HttpHandler.h"
#include "boragerack/runtime/HttpMessage.h"
#include "boragerack/runtime/HttpResponder.h"
#include "boragerack/runtime/HttpServer.h"

namespace boragerack::runtime::testing {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMegabyte = 1024 * 1024;

std::size_t residentBytes()
{
    std::size_t total = 0;
    std::size_t resident = 0;
    std::ifstream("/proc/self/statm") >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

/// Responds to requests with a body when it is released, to others at once.
class WaitingHandler final : public HttpHandler
{
public:
    void handle(const HttpRequest &request, HttpResponder &responder) override
    {
        while (!request.body.empty() && !isReleased)
            boost::this_fiber::sleep_for(5ms);
        responder.send({200, {}, "ok"});
    }

    bool isReleased = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ByteBudgetTest)

BOOST_AUTO_TEST_CASE(reservationsShareTheBudget)
{
    const auto budget = std::make_shared<ByteBudget>(6 * kMegabyte);
    {
        ByteReservation first(budget);
        ByteReservation second(budget);
        BOOST_TEST(first.resize(kMegabyte));
        BOOST_TEST(!second.resize(kMegabyte + 1));
        BOOST_TEST(second.resize(kMegabyte));
        BOOST_TEST(!first.resize(kMegabyte + 1));
        // A failed change keeps what was reserved; small buffers need nothing.
        BOOST_TEST(budget->usedBytes() == 6 * kMegabyte);
        ByteReservation small(budget);
        BOOST_TEST(small.resize(ByteReservation::kFreeBytes));
        BOOST_TEST(second.resize(0));
        BOOST_TEST(first.resize(2 * kMegabyte));
    }
    BOOST_TEST(budget->usedBytes() == 0U);
}

// Guards against many faulty targets that send without end at the same time: each answer is
// bounded, and their sum must be as well.
BOOST_AUTO_TEST_CASE(manyEndlessResponsesUseBoundedMemory)
{
    constexpr std::size_t kServers = 12;
    constexpr std::size_t kLimit = 6 * kMegabyte;
    // Far less than the size limit of all answers together, 192 MB.
    constexpr std::size_t kMaxGrowth = 64 * kMegabyte;
    FiberRuntime fibers;
    const auto budget = std::make_shared<ByteBudget>(kLimit);
    HttpClient client(fibers.ioContext(), HttpClientOptions(), budget);
    WaitingHandler handler;
    HttpServer sound(fibers.ioContext(), handler, HttpLimits());
    const std::string soundAddress = core::valueOf(sound.listen("127.0.0.1:0"));
    std::vector<std::unique_ptr<EndlessServer>> servers;
    for (std::size_t i = 0; i < kServers; ++i)
        servers.push_back(std::make_unique<EndlessServer>("HTTP/1.1 200 OK\r\n\r\n", "a"));
    const std::size_t before = residentBytes();
    std::size_t largest = before;
    std::size_t failures = 0;
    std::size_t ended = 0;
    std::vector<boost::fibers::fiber> calls;
    for (const auto &server : servers) {
        calls.emplace_back([&, address = server->address()] {
            failures += core::isOk(client.call(address, {"GET", "/", {}, {}},
                                               std::chrono::steady_clock::now() + 20s))
                ? 0
                : 1;
            ++ended;
        });
    }
    std::size_t served = 0;
    std::size_t sent = 0;
    while (ended < kServers) {
        const auto answer =
            client.call(soundAddress, {"GET", "/", {}, {}}, std::chrono::steady_clock::now() + 5s);
        ++sent;
        served += core::isOk(answer) ? 1 : 0;
        largest = std::max(largest, residentBytes());
        BOOST_TEST(budget->usedBytes() <= kLimit);
    }
    for (boost::fibers::fiber &call : calls)
        call.join();
    BOOST_TEST(failures == kServers);
    // The other requests of the process are served.
    BOOST_TEST(sent > 0U);
    BOOST_TEST(served == sent);
    BOOST_TEST(largest - before < kMaxGrowth);
    BOOST_TEST(budget->usedBytes() == 0U);
}

// Guards against many large requests at the same time that use more memory than the process has:
// those that do not fit are refused before they are read, and small ones are served.
BOOST_AUTO_TEST_CASE(manyLargeRequestsUseBoundedMemory)
{
    constexpr std::size_t kRequests = 8;
    FiberRuntime fibers;
    const auto budget = std::make_shared<ByteBudget>(6 * kMegabyte);
    WaitingHandler handler;
    HttpServer server(fibers.ioContext(), handler, HttpLimits(), budget);
    const std::string address = core::valueOf(server.listen("127.0.0.1:0"));
    HttpClient client(fibers.ioContext(), HttpClientOptions());
    const auto post = [&](std::size_t bytes) {
        const auto answer =
            client.call(address, {"POST", "/", {}, std::string(bytes, 'a')},
                        std::chrono::steady_clock::now() + 10s, ConnectionUse::SingleUse);
        return core::isOk(answer) ? core::valueOf(answer).status : 0U;
    };
    std::size_t served = 0;
    std::vector<boost::fibers::fiber> calls;
    for (std::size_t i = 0; i < kRequests; ++i)
        calls.emplace_back([&] { served += post(kMegabyte) == 200 ? 1 : 0; });
    boost::this_fiber::sleep_for(300ms);
    BOOST_TEST(budget->usedBytes() == 6 * kMegabyte);
    const auto small =
        client.call(address, {"GET", "/", {}, {}}, std::chrono::steady_clock::now() + 5s);
    BOOST_TEST(core::isOk(small));
    handler.isReleased = true;
    for (boost::fibers::fiber &call : calls)
        call.join();
    BOOST_TEST(served == 2U);
    BOOST_TEST(budget->usedBytes() == 0U);
    BOOST_TEST(post(kMegabyte) == 200U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::runtime::testing
