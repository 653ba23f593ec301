#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace boragerack::runtime::testing {

/// Answers one request with a beginning and then with the same bytes until the client closes the
/// connection.
class EndlessServer
{
public:
    /// Far more than the buffers of two sockets hold.
    static constexpr std::size_t kMaxBytes = 256 * 1024 * 1024;

    EndlessServer(std::string beginning, std::string repeated)
        : acceptor_(ioContext_, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , thread_([this, beginning = std::move(beginning), repeated = std::move(repeated)] {
            serve(beginning, repeated);
        })
    {
    }

    ~EndlessServer() { thread_.join(); }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    /// Valid when the client has closed the connection.
    std::size_t sentBytes() const { return sentBytes_; }

private:
    void serve(const std::string &beginning, const std::string &repeated)
    {
        boost::system::error_code error;
        boost::asio::ip::tcp::socket socket = acceptor_.accept(error);
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request_), "\r\n\r\n", error);
        boost::asio::write(socket, boost::asio::buffer(beginning), error);
        std::string block;
        while (block.size() < 16 * 1024)
            block += repeated;
        while (!error && sentBytes_ < kMaxBytes)
            sentBytes_ += boost::asio::write(socket, boost::asio::buffer(block), error);
    }

    boost::asio::io_context ioContext_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::string request_;
    std::atomic<std::size_t> sentBytes_ = 0;
    std::thread thread_;
};

} // namespace boragerack::runtime::testing
