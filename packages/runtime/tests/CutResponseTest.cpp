#include <boost/test/unit_test.hpp>

#include <string>
#include <thread>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "boragerack/runtime/FiberRuntime.h"
#include "boragerack/runtime/HttpClient.h"
#include "boragerack/runtime/HttpMessage.h"

namespace boragerack::runtime::testing {

namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

/// Answers each connection with the next of the given texts, and closes it.
class CuttingServer
{
public:
    explicit CuttingServer(std::vector<std::string> answers)
        : acceptor_(ioContext_, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , thread_([this, answers = std::move(answers)] {
            for (const std::string &answer : answers)
                serve(answer);
        })
    {
    }

    ~CuttingServer() { thread_.join(); }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    void serve(const std::string &answer)
    {
        boost::system::error_code error;
        tcp::socket socket = acceptor_.accept(error);
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
        boost::asio::write(socket, boost::asio::buffer(answer), error);
        socket.shutdown(tcp::socket::shutdown_both, error);
    }

    boost::asio::io_context ioContext_;
    tcp::acceptor acceptor_;
    std::thread thread_;
};

/// All beginnings of the text, and the text.
std::vector<std::string> beginningsOf(const std::string &text)
{
    std::vector<std::string> beginnings;
    for (std::size_t size = 0; size <= text.size(); ++size)
        beginnings.push_back(text.substr(0, size));
    return beginnings;
}

/// The bodies of the answers that counted as complete, by the number of bytes that were sent.
std::vector<std::pair<std::size_t, std::string>> completeBodies(const std::string &answer)
{
    CuttingServer server(beginningsOf(answer));
    FiberRuntime fibers;
    HttpClient client(fibers.ioContext(), HttpClientOptions());
    std::vector<std::pair<std::size_t, std::string>> complete;
    for (std::size_t size = 0; size <= answer.size(); ++size) {
        const auto result = client.call(server.address(), {"GET", "/", {}, {}},
                                        std::chrono::steady_clock::now() + 5s, ConnectionUse::New);
        if (core::isOk(result))
            complete.emplace_back(size, core::valueOf(result).body);
    }
    return complete;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CutResponseTest)

// Guards against a server that ends in the middle of the head or body of its answer, which is
// passed on as a complete answer with an empty or short body.
BOOST_AUTO_TEST_CASE(framedResponsesThatAreCutFail)
{
    const std::string head = "HTTP/1.1 200 OK\r\nServer: a\r\n";
    for (const std::string &answer :
         {head + "Content-Length: 5\r\n\r\nwhole", head + "Content-Length: 0\r\n\r\n",
          head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"}) {
        const auto complete = completeBodies(answer);
        BOOST_REQUIRE(complete.size() == 1U);
        BOOST_TEST(complete.front().first == answer.size());
    }
}

// Guards against the same for an answer whose end is that of the connection: its head must be
// whole.
BOOST_AUTO_TEST_CASE(unframedResponsesThatAreCutInTheHeadFail)
{
    const std::string head = "HTTP/1.1 200 OK\r\nServer: a\r\n\r\n";
    for (const auto &[size, body] : completeBodies(head + "whole")) {
        BOOST_TEST(size >= head.size());
        BOOST_TEST(body.size() == size - head.size());
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::runtime::testing
