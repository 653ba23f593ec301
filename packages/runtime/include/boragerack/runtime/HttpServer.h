#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "boragerack/core/Result.h"

namespace boragerack::runtime {

class ByteBudget;
class HttpHandler;

/// Limits on the connections and requests of a server.
struct HttpLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::size_t maxConnections = 4096;
    /// Time for which a persistent connection may wait for its next request.
    std::chrono::milliseconds idleTimeout = std::chrono::seconds(60);
    /// Time to receive the rest of a request head after its first byte.
    std::chrono::milliseconds headerTimeout = std::chrono::seconds(60);
    /// Time to receive a request body after its head.
    std::chrono::milliseconds bodyTimeout = std::chrono::seconds(60);
    std::chrono::milliseconds writeTimeout = std::chrono::seconds(10);

    friend bool operator==(const HttpLimits &, const HttpLimits &) = default;
};

/// HTTP/1.1 server. One fiber accepts connections; one fiber per connection owns its socket.
class HttpServer
{
public:
    /// Without `buffers`, the server has a budget of its own for the requests that it buffers.
    HttpServer(boost::asio::io_context &ioContext, HttpHandler &handler, const HttpLimits &limits,
               std::shared_ptr<ByteBudget> buffers = nullptr);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    /// Stops the server and waits until all connections are closed.
    ~HttpServer();

    /// Starts to accept on "<ip>:<port>" and returns the address with the port that was bound.
    core::Result<std::string> listen(const std::string &address);

    /// Takes effect on open connections with their next request.
    void updateLimits(const HttpLimits &limits);

    /// Stops accepting and closes idle connections; requests in progress are finished.
    void stopAccepting();

    std::size_t connectionCount() const;
    std::size_t requestsInProgress() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace boragerack::runtime
