#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "boragerack/core/Result.h"

namespace boragerack::runtime {

class HttpHandler;

/// Bounds of what a server accepts.
struct HttpLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::size_t maxConnections = 4096;
    /// A kept connection may wait this long for its next request.
    std::chrono::milliseconds idleTimeout = std::chrono::seconds(60);
    /// Time for the rest of a head once its first byte has arrived.
    std::chrono::milliseconds headerTimeout = std::chrono::seconds(60);
    /// Time for a body once its head has arrived.
    std::chrono::milliseconds bodyTimeout = std::chrono::seconds(60);
    std::chrono::milliseconds writeTimeout = std::chrono::seconds(10);

    friend bool operator==(const HttpLimits &, const HttpLimits &) = default;
};

/// HTTP/1.1 server: one fiber accepts, one fiber a connection owns its socket.
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &ioContext, HttpHandler &handler, const HttpLimits &limits);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    /// Stops and waits until all connections have ended.
    ~HttpServer();

    /// Listens on "<ip>:<port>" and starts to accept; gives the address with the actual port.
    core::Result<std::string> listen(const std::string &address);

    /// Applies to open connections from their next request on.
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
