#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace boragerack::standins {

/// HTTP server of a faulty target. It writes any bytes as an answer as soon as it has read the head
/// of a request, and may reset the connection while the body is still being sent. Runs on threads
/// of its own.
class RawHttpServer
{
public:
    struct Answer
    {
        std::string bytes;
        /// Time from the answer to the reset of the connection.
        std::optional<std::chrono::milliseconds> resetAfter = {};
        /// Bytes of the body after which the server closes the connection. Without both, it reads
        /// on until the client closes the connection.
        std::optional<std::size_t> closeAfterBytes = {};
    };
    /// Called on the server's threads with the head of a request, up to the blank line.
    using MakeAnswer = std::function<Answer(const std::string &head)>;

    explicit RawHttpServer(MakeAnswer makeAnswer);
    RawHttpServer(const RawHttpServer &) = delete;
    RawHttpServer &operator=(const RawHttpServer &) = delete;
    /// Ends all connections.
    ~RawHttpServer();

    /// "<ip>:<port>" of this server.
    std::string address() const;

private:
    using Socket = boost::asio::ip::tcp::socket;

    void accept();
    void serve(Socket &socket);

    MakeAnswer makeAnswer_;
    boost::asio::io_context ioContext_;
    boost::asio::ip::tcp::acceptor acceptor_;
    /// Modified by the accepting thread only; elements do not move.
    std::deque<Socket> sockets_;
    std::deque<std::thread> connections_;
    /// Held while a socket is closed, so that the destructor does not use a closed one.
    std::mutex closing_;
    std::thread thread_;
};

/// Value of a header in the head of a request; empty if it is missing. The name is case-sensitive.
std::string headerOf(const std::string &head, const std::string &name);

} // namespace boragerack::standins
