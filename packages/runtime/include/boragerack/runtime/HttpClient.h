#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Result.h"
#include "boragerack/runtime/HttpMessage.h"

namespace boragerack::runtime {

class HttpExchange;

struct HttpClientOptions
{
    std::chrono::milliseconds connectTimeout = std::chrono::seconds(2);
    /// Closes a connection on which nothing moved for this long while a response is due.
    std::chrono::milliseconds inactivityTimeout = std::chrono::seconds(120);
    /// Closes a connection whose peer has not confirmed sent bytes for this long; zero leaves the
    /// limit to the system.
    std::chrono::milliseconds unconfirmedTimeout = std::chrono::milliseconds(0);
    /// A kept connection is not used again after this time without a request.
    std::chrono::milliseconds idleTimeout = std::chrono::seconds(60);
    std::size_t maxIdleConnectionsPerAddress = 64;
    std::size_t maxResponseBytes = 16 * 1024 * 1024;

    friend bool operator==(const HttpClientOptions &, const HttpClientOptions &) = default;
};

/// Whether a kept connection may carry the request. The server may close a kept connection at the
/// moment it is used, which leaves the outcome of the request unknown.
enum class ConnectionUse { KeptOrNew, New };

/// HTTP/1.1 client with kept connections per address.
class HttpClient
{
public:
    HttpClient(boost::asio::io_context &ioContext, const HttpClientOptions &options);
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    ~HttpClient();

    /// Opens a connection to "<ip>:<port>" for one request.
    std::unique_ptr<HttpExchange> open(const std::string &address,
                                       ConnectionUse use = ConnectionUse::KeptOrNew);

    /// Sends a request and waits for the whole response.
    core::Result<HttpResponse> call(const std::string &address, HttpRequest request,
                                    core::TimePoint deadline,
                                    ConnectionUse use = ConnectionUse::KeptOrNew);

    /// Drops the kept connections to an address, for instance after one went silent.
    void dropIdleConnections(const std::string &address);

private:
    class Pool;
    HttpClientOptions options_;
    std::shared_ptr<Pool> pool_;

    friend class HttpExchange;
};

} // namespace boragerack::runtime
