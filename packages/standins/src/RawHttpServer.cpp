#include "boragerack/standins/RawHttpServer.h"

#include <sys/socket.h>

#include <utility>

#include <algorithm>

#include <boost/asio/buffer.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace boragerack::standins {

using boost::asio::ip::tcp;

RawHttpServer::RawHttpServer(MakeAnswer makeAnswer)
    : makeAnswer_(std::move(makeAnswer))
    , acceptor_(ioContext_, {boost::asio::ip::make_address("127.0.0.1"), 0})
    , thread_([this] { accept(); })
{
}

RawHttpServer::~RawHttpServer()
{
    // Unlike close(), shutdown() wakes threads that wait for the socket.
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    thread_.join();
    {
        const std::lock_guard lock(closing_);
        for (Socket &socket : sockets_)
            ::shutdown(socket.native_handle(), SHUT_RDWR);
    }
    for (std::thread &connection : connections_)
        connection.join();
}

std::string RawHttpServer::address() const
{
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void RawHttpServer::accept()
{
    while (true) {
        boost::system::error_code error;
        Socket socket = acceptor_.accept(error);
        if (error)
            return;
        sockets_.push_back(std::move(socket));
        connections_.emplace_back([this, &connection = sockets_.back()] { serve(connection); });
    }
}

void RawHttpServer::serve(Socket &socket)
{
    boost::system::error_code error;
    std::string received;
    while (!error) {
        const std::size_t size = boost::asio::read_until(
            socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", error);
        if (error)
            break;
        const Answer answer = makeAnswer_(received.substr(0, size));
        received.erase(0, size);
        boost::asio::write(socket, boost::asio::buffer(answer.bytes), error);
        if (answer.closeAfterBytes) {
            const std::size_t rest =
                *answer.closeAfterBytes - std::min(*answer.closeAfterBytes, received.size());
            boost::asio::read(socket, boost::asio::dynamic_buffer(received),
                              boost::asio::transfer_exactly(rest), error);
            socket.shutdown(tcp::socket::shutdown_both, error);
            return;
        }
        if (!answer.resetAfter)
            continue;
        std::this_thread::sleep_for(*answer.resetAfter);
        const std::lock_guard lock(closing_);
        // With a linger time of zero, close() resets the connection.
        socket.set_option(tcp::socket::linger(true, 0), error);
        socket.close(error);
        return;
    }
}

std::string headerOf(const std::string &head, const std::string &name)
{
    const std::string start = "\r\n" + name + ": ";
    const std::size_t position = head.find(start);
    if (position == std::string::npos)
        return {};
    const std::size_t begin = position + start.size();
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

} // namespace boragerack::standins
