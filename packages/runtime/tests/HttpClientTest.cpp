#include <boost/test/unit_test.hpp>

#include <future>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/operations.hpp>

#include "boragerack/runtime/FiberRuntime.h"
#include "boragerack/runtime/HttpClient.h"
#include "boragerack/runtime/HttpExchange.h"

namespace boragerack::runtime::testing {

namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

/// Connections are opened by the system and never answered.
struct SilentServer
{
    boost::asio::io_context ioContext;
    tcp::acceptor acceptor {ioContext, {boost::asio::ip::address_v4::loopback(), 0}};
    std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
};

} // namespace

BOOST_AUTO_TEST_SUITE(HttpClientTest)

// Guards against a process that does not end and uses a whole core, because an exchange was
// cancelled shortly before.
BOOST_AUTO_TEST_CASE(threadEndsAfterACancelledExchange)
{
    SilentServer server;
    for (const auto pause : {0ms, 20ms}) {
        std::promise<void> ended;
        auto future = ended.get_future();
        std::thread thread([&server, pause, ended = std::move(ended)]() mutable {
            FiberRuntime fibers;
            HttpClient client(fibers.ioContext(), HttpClientOptions());
            const auto exchange = client.open(server.address, ConnectionUse::New);
            exchange->send({"GET", "/", {}, {}});
            boost::this_fiber::sleep_for(pause);
            exchange->cancel();
            // The fibers of the thread end with its local objects.
            ended.set_value_at_thread_exit();
        });
        const bool hasEnded = future.wait_for(5s) == std::future_status::ready;
        BOOST_TEST(hasEnded);
        if (hasEnded)
            thread.join();
        else
            thread.detach();
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::runtime::testing
