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

class ByteBudget;
class HttpExchange;

struct HttpClientOptions
{
    std::chrono::milliseconds connectTimeout = std::chrono::seconds(2);
    /// Closes a connection that has transferred no data for this long while a response is pending.
    std::chrono::milliseconds inactivityTimeout = std::chrono::seconds(120);
    /// Closes a connection whose peer has not acknowledged sent data for this long; zero uses the
    /// system's default.
    std::chrono::milliseconds unconfirmedTimeout = std::chrono::milliseconds(0);
    /// A connection that has been idle for this long is not reused.
    std::chrono::milliseconds idleTimeout = std::chrono::seconds(60);
    std::size_t maxIdleConnectionsPerAddress = 64;
    std::size_t maxResponseBytes = 16 * 1024 * 1024;

    friend bool operator==(const HttpClientOptions &, const HttpClientOptions &) = default;
};

/// Whether an idle connection may be reused for a request. The server may close an idle connection
/// while the request is being sent, which leaves the outcome of the request unknown. A faulty
/// server may also send an earlier response again where the next one is due.
enum class ConnectionUse {
    KeptOrNew,
    New,
    SingleUse, ///< New, and closed after the response.
};

/// HTTP/1.1 client with a pool of idle connections per address.
class HttpClient
{
public:
    /// Without `buffers`, the client has a budget of its own.
    HttpClient(boost::asio::io_context &ioContext, const HttpClientOptions &options,
               std::shared_ptr<ByteBudget> buffers = nullptr);
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    /// Cancels all exchanges and waits until their fibers have ended.
    ~HttpClient();

    /// Starts an exchange of one request and its response with "<ip>:<port>".
    std::unique_ptr<HttpExchange> open(const std::string &address,
                                       ConnectionUse use = ConnectionUse::KeptOrNew);

    /// Sends a request and waits for the complete response.
    core::Result<HttpResponse> call(const std::string &address, HttpRequest request,
                                    core::TimePoint deadline,
                                    ConnectionUse use = ConnectionUse::KeptOrNew);

    /// Budget for the responses that the users of this client buffer.
    const std::shared_ptr<ByteBudget> &buffers() const { return buffers_; }

    /// Closes the idle connections to an address, for instance after one stopped responding.
    void dropIdleConnections(const std::string &address);

private:
    class Pool;
    class ExchangeGroup;

    HttpClientOptions options_;
    std::shared_ptr<ByteBudget> buffers_;
    std::shared_ptr<Pool> pool_;
    std::unique_ptr<ExchangeGroup> exchanges_;

    friend class HttpExchange;
};

} // namespace boragerack::runtime
