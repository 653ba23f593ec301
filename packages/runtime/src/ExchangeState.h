#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "ConnectionPool.h"
#include "boragerack/runtime/HttpExchange.h"
#include "boragerack/runtime/Mailbox.h"
#include "boragerack/runtime/ReplyChannel.h"

namespace boragerack::runtime {

/// The task of an exchange: connects, writes the request, reads the response and sends events.
class HttpExchange::State : public std::enable_shared_from_this<HttpExchange::State>
{
public:
    State(std::shared_ptr<HttpClient::Pool> pool, const HttpClientOptions &options,
          std::string address, ConnectionUse use);

    /// Body of the fiber that owns the socket.
    void run();

    void send(HttpRequest request);
    std::optional<HttpEvent> receiveUntil(core::TimePoint deadline);
    void cancel();
    core::Verdict verdict() const { return verdict_; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    void exchange();
    bool connect();
    void startWriting();
    bool readHead(Parser &parser);
    /// Waits until the write of the request has ended. False if it failed.
    bool waitUntilWritten();
    void readResponse();
    void keepConnection(const HttpResponseHead &head);
    void fail(core::ErrorCode code, const std::string &reason);

    std::shared_ptr<HttpClient::Pool> pool_;
    HttpClientOptions options_;
    std::string address_;
    ConnectionUse use_;
    HttpRequest request_;
    Mailbox<HttpRequest> requests_;
    std::shared_ptr<boost::beast::tcp_stream> stream_;
    HttpResponseHead head_;
    /// The parser limits the size of the head only; chunk sizes, chunk extensions and trailers are
    /// limited by the buffer.
    static constexpr std::size_t kMaxBufferBytes = 64 * 1024;
    boost::beast::flat_buffer buffer_ {kMaxBufferBytes};
    Mailbox<HttpEvent> events_;
    core::Verdict verdict_ = core::Verdict::NotRun;
    bool isCancelled_ = false;
    /// Whether the request has been written completely; empty while it is being written. A server
    /// may respond earlier; the connection is then not reused.
    std::optional<bool> isWritten_;
    /// Receives the same when the write ends.
    ReplyChannel<bool> written_;
};

} // namespace boragerack::runtime
