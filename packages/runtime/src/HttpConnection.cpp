#include "HttpConnection.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include "HttpHead.h"
#include "HttpRequestParser.h"
#include "boragerack/runtime/Await.h"
#include "boragerack/runtime/ByteBudget.h"
#include "boragerack/runtime/ByteReservation.h"
#include "boragerack/runtime/ExceptionBoundary.h"
#include "boragerack/runtime/HttpHandler.h"

namespace boragerack::runtime {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t kFirstReadBytes = 1024;
/// Read at once beyond a head. Bounds the lines between chunks as well.
constexpr std::size_t kReadBytes = 64 * 1024;

constexpr unsigned kInternalError = 500;
constexpr unsigned kServiceUnavailable = 503;

std::string errorBody(std::string_view code, std::string_view reason, std::string_view verdict)
{
    std::string body = "{\"error\":{\"code\":\"";
    body.append(code).append("\",\"message\":\"").append(reason);
    body.append("\",\"verdict\":\"").append(verdict);
    return body + "\",\"retry_after_seconds\":0}}";
}

} // namespace

/// State shared with the pending wait for a disconnect, which may outlive the connection.
struct HttpConnection::DisconnectWatch
{
    bool isWaiting = false;
    bool isDisconnected = false;
    bool isConnectionAlive = true;
    std::function<void()> onDisconnect;
};

HttpConnection::HttpConnection(boost::beast::tcp_stream stream, HttpHandler &handler,
                               const HttpLimits &limits, std::shared_ptr<ByteBudget> buffers)
    : stream_(std::move(stream))
    , handler_(handler)
    , limits_(limits)
    , buffers_(std::move(buffers))
    , watch_(std::make_shared<DisconnectWatch>())
{
    boost::system::error_code ignored;
    stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

HttpConnection::~HttpConnection()
{
    watch_->isConnectionAlive = false;
    watch_->onDisconnect = nullptr;
}

void HttpConnection::run()
{
    while (keepAlive_ && serveRequest()) { }
    boost::system::error_code ignored;
    stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    stream_.close();
}

void HttpConnection::closeWhenIdle()
{
    keepAlive_ = false;
    if (!isBusy_)
        stream_.cancel();
}

bool HttpConnection::waitForRequest()
{
    if (buffer_.size() > 0)
        return true;
    limitBuffer();
    stream_.expires_after(limits_.idleTimeout);
    const IoResult first = awaitIo([&](auto handler) {
        stream_.async_read_some(buffer_.prepare(kFirstReadBytes), std::move(handler));
    });
    buffer_.commit(first.size);
    return !first.error;
}

void HttpConnection::limitBuffer()
{
    buffer_.max_size(std::max(limits_.maxHeaderBytes, buffer_.size()) + kReadBytes);
}

bool HttpConnection::serveRequest()
{
    if (!waitForRequest())
        return false;
    // The limits may have changed while the connection was idle.
    limitBuffer();
    HttpRequestParser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits_.maxHeaderBytes));
    parser.body_limit(limits_.maxBodyBytes);
    stream_.expires_after(limits_.headerTimeout);
    const IoResult head = awaitIo([&](auto handler) {
        http::async_read_header(stream_, buffer_, parser, std::move(handler));
    });
    if (head.error) {
        rejectMalformed(head.error);
        return false;
    }
    if (!parser.isUnambiguous()) {
        reject(400, "the length of the request is ambiguous");
        return false;
    }
    ByteReservation reservation(buffers_);
    if (!readBody(parser, reservation))
        return false;
    isBusy_ = true;
    hasResponded_ = false;
    keepAlive_ = keepAlive_ && parser.keep_alive();
    // No read is pending while the handler runs, so no timeout may close the connection.
    stream_.expires_never();
    const HttpRequest request = parser.release();
    const bool isHandled = runGuarded("request handler", [&] { handler_.handle(request, *this); });
    watch_->onDisconnect = nullptr;
    if (!isHandled)
        failRequest();
    isBusy_ = false;
    // A connection that stays open must not keep the memory of a large request.
    if (buffer_.size() == 0 && buffer_.capacity() > ByteReservation::kFreeBytes)
        buffer_.shrink_to_fit();
    if (isStreaming_)
        abortConnection();
    return hasResponded_ && !watch_->isDisconnected;
}

void HttpConnection::failRequest()
{
    keepAlive_ = false;
    // The handler may have sent the request to a target before it failed.
    if (!hasResponded_)
        send({kInternalError,
              {{"Content-Type", "application/json"}},
              errorBody("internal_error", "the request failed", "may_have_run")});
}

bool HttpConnection::readBody(HttpRequestParser &parser, ByteReservation &reservation)
{
    const auto declared = parser.content_length();
    stream_.expires_after(limits_.bodyTimeout);
    while (true) {
        // The parser allocates a declared length at once, and a body in chunks as it arrives.
        const std::size_t size =
            std::max<std::size_t>(declared.value_or(0), parser.request().body.size());
        if (!reservation.resize(size)) {
            reject(kServiceUnavailable, "no memory left for the request");
            return false;
        }
        if (parser.is_done())
            return true;
        const IoResult part = awaitIo([&](auto handler) {
            http::async_read_some(stream_, buffer_, parser, std::move(handler));
        });
        if (part.error) {
            rejectMalformed(part.error);
            return false;
        }
    }
}

void HttpConnection::setDisconnectCallback(std::function<void()> onDisconnect)
{
    watch_->onDisconnect = std::move(onDisconnect);
    startDisconnectWatch();
}

void HttpConnection::startDisconnectWatch()
{
    // Unread bytes of a pipelined request do not indicate a close, and they make one undetectable
    // until they are read.
    if (watch_->isWaiting || buffer_.size() > 0)
        return;
    watch_->isWaiting = true;
    stream_.socket().async_wait(boost::asio::ip::tcp::socket::wait_read,
                                [this, watch = watch_](const boost::system::error_code &error) {
                                    watch->isWaiting = false;
                                    if (!watch->isConnectionAlive || !watch->onDisconnect || error)
                                        return;
                                    char byte = 0;
                                    boost::system::error_code peeked;
                                    stream_.socket().non_blocking(true, peeked);
                                    const std::size_t size = stream_.socket().receive(
                                        boost::asio::buffer(&byte, 1),
                                        boost::asio::ip::tcp::socket::message_peek, peeked);
                                    if (peeked == boost::asio::error::would_block) {
                                        startDisconnectWatch();
                                        return;
                                    }
                                    if (!peeked && size > 0)
                                        return;
                                    watch->isDisconnected = true;
                                    std::exchange(watch->onDisconnect, nullptr)();
                                });
}

void HttpConnection::rejectMalformed(const boost::system::error_code &error)
{
    unsigned status = 0;
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        status = 431;
    else if (error == http::error::body_limit)
        status = 413;
    else if (error.category() == make_error_code(http::error::bad_method).category()
             && error != http::error::end_of_stream && error != http::error::partial_message)
        status = 400;
    if (status != 0)
        reject(status, error.message());
}

void HttpConnection::reject(unsigned status, const std::string &reason)
{
    keepAlive_ = false;
    send({status,
          {{"Content-Type", "application/json"}},
          errorBody("invalid_request", reason, "not_run")});
}

template<class Initiate>
bool HttpConnection::write(Initiate &&initiate)
{
    stream_.expires_after(limits_.writeTimeout);
    const IoResult result = awaitIo(std::forward<Initiate>(initiate));
    stream_.expires_never();
    if (result.error)
        keepAlive_ = false;
    return !result.error;
}

bool HttpConnection::send(const HttpResponse &response)
{
    const std::string head =
        formatResponseHead(response.status, response.headers, response.body.size(), keepAlive_);
    const std::array parts {boost::asio::buffer(head), boost::asio::buffer(response.body)};
    hasResponded_ = true;
    return write(
        [&](auto handler) { boost::asio::async_write(stream_, parts, std::move(handler)); });
}

bool HttpConnection::startStream(unsigned status, const std::vector<HttpHeader> &headers)
{
    const std::string head = formatResponseHead(status, headers, std::nullopt, keepAlive_);
    hasResponded_ = true;
    isStreaming_ = true;
    return write([&](auto handler) {
        boost::asio::async_write(stream_, boost::asio::buffer(head), std::move(handler));
    });
}

bool HttpConnection::writePart(std::string_view part)
{
    // An empty chunk would end the stream.
    if (part.empty())
        return true;
    return write([&](auto handler) {
        boost::asio::async_write(stream_,
                                 http::make_chunk(boost::asio::buffer(part.data(), part.size())),
                                 std::move(handler));
    });
}

bool HttpConnection::finishStream()
{
    isStreaming_ = false;
    return write([&](auto handler) {
        boost::asio::async_write(stream_, http::make_chunk_last(), std::move(handler));
    });
}

void HttpConnection::abortConnection()
{
    keepAlive_ = false;
    if (isStreaming_) {
        isStreaming_ = false;
        stream_.close();
    }
}

} // namespace boragerack::runtime
