#include "HttpConnection.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include "boragerack/runtime/Await.h"
#include "boragerack/runtime/HttpHandler.h"

namespace boragerack::runtime {

namespace http = boost::beast::http;

namespace {

constexpr int kHttpVersion = 11;

HttpRequest makeRequest(http::request<http::string_body> &&message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message)
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    request.body = std::move(message.body());
    return request;
}

template<class Message>
void setHeaders(Message &message, const std::vector<HttpHeader> &headers)
{
    for (const HttpHeader &header : headers)
        message.insert(header.name, header.value);
}

/// A request whose body length two readers could understand differently, or whose target is not a
/// path. Such a request could hide another one in its body.
bool isAmbiguous(const http::request_parser<http::string_body> &parser)
{
    const auto &message = parser.get();
    if (message.count(http::field::host) > 1 || !message.target().starts_with('/'))
        return true;
    if (message.count(http::field::transfer_encoding) == 0)
        return message.count(http::field::content_length) > 1
            || message[http::field::content_length].find_first_not_of("0123456789")
            != boost::beast::string_view::npos;
    return message.version() < kHttpVersion || message.count(http::field::content_length) > 0
        || message.count(http::field::transfer_encoding) > 1
        || !boost::beast::iequals(message[http::field::transfer_encoding], "chunked");
}

} // namespace

/// Shared with the pending wait, which may outlive the connection.
struct HttpConnection::CallerWatch
{
    bool isArmed = false;
    bool isGone = false;
    bool isOpen = true;
    std::function<void()> onGone;
};

HttpConnection::HttpConnection(boost::beast::tcp_stream stream, HttpHandler &handler,
                               const HttpLimits &limits)
    : stream_(std::move(stream))
    , buffer_(limits.maxHeaderBytes + limits.maxBodyBytes)
    , handler_(handler)
    , limits_(limits)
    , watch_(std::make_shared<CallerWatch>())
{
    boost::system::error_code ignored;
    stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

HttpConnection::~HttpConnection()
{
    watch_->isOpen = false;
    watch_->onGone = nullptr;
}

void HttpConnection::run()
{
    while (keepAlive_ && serveOne()) { }
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
    constexpr std::size_t kFirstRead = 1024;
    stream_.expires_after(limits_.idleTimeout);
    const IoResult first = awaitIo([&](auto handler) {
        stream_.async_read_some(buffer_.prepare(kFirstRead), std::move(handler));
    });
    buffer_.commit(first.size);
    return !first.error;
}

bool HttpConnection::serveOne()
{
    if (!waitForRequest())
        return false;
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits_.maxHeaderBytes));
    parser.body_limit(limits_.maxBodyBytes);
    stream_.expires_after(limits_.headerTimeout);
    const IoResult head = awaitIo([&](auto handler) {
        http::async_read_header(stream_, buffer_, parser, std::move(handler));
    });
    if (head.error) {
        refuseMalformed(head.error);
        return false;
    }
    if (isAmbiguous(parser)) {
        refuse(400, "the length of the request is ambiguous");
        return false;
    }
    if (!parser.is_done()) {
        stream_.expires_after(limits_.bodyTimeout);
        const IoResult body = awaitIo(
            [&](auto handler) { http::async_read(stream_, buffer_, parser, std::move(handler)); });
        if (body.error) {
            refuseMalformed(body.error);
            return false;
        }
    }

    isBusy_ = true;
    hasAnswered_ = false;
    keepAlive_ = keepAlive_ && parser.get().keep_alive();
    // No read is pending while the handler works, so the idle limit must not end the connection.
    stream_.expires_never();
    handler_.handle(makeRequest(parser.release()), *this);
    watch_->onGone = nullptr;
    isBusy_ = false;
    if (isStreaming_)
        abortConnection();
    return hasAnswered_ && !watch_->isGone;
}

void HttpConnection::setDisconnectCallback(std::function<void()> onGone)
{
    watch_->onGone = std::move(onGone);
    startWatch();
}

void HttpConnection::startWatch()
{
    // Bytes of a further request say nothing about a close, and hide it until they are read.
    if (watch_->isArmed || buffer_.size() > 0)
        return;
    watch_->isArmed = true;
    stream_.socket().async_wait(boost::asio::ip::tcp::socket::wait_read,
                                [this, watch = watch_](const boost::system::error_code &error) {
                                    watch->isArmed = false;
                                    if (!watch->isOpen || !watch->onGone || error)
                                        return;
                                    char byte = 0;
                                    boost::system::error_code peeked;
                                    stream_.socket().non_blocking(true, peeked);
                                    const std::size_t size = stream_.socket().receive(
                                        boost::asio::buffer(&byte, 1),
                                        boost::asio::ip::tcp::socket::message_peek, peeked);
                                    if (peeked == boost::asio::error::would_block) {
                                        startWatch();
                                        return;
                                    }
                                    if (!peeked && size > 0)
                                        return;
                                    watch->isGone = true;
                                    std::exchange(watch->onGone, nullptr)();
                                });
}

void HttpConnection::refuseMalformed(const boost::system::error_code &error)
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
        refuse(status, error.message());
}

void HttpConnection::refuse(unsigned status, const std::string &reason)
{
    keepAlive_ = false;
    send({status,
          {{"Content-Type", "application/json"}},
          "{\"error\":{\"code\":\"invalid_request\",\"message\":\"" + reason
              + "\",\"verdict\":\"not_run\",\"retry_after_seconds\":0}}"});
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
    http::response<http::string_body> message(static_cast<http::status>(response.status),
                                              kHttpVersion);
    setHeaders(message, response.headers);
    message.keep_alive(keepAlive_);
    message.body() = response.body;
    message.prepare_payload();
    hasAnswered_ = true;
    return write([&](auto handler) { http::async_write(stream_, message, std::move(handler)); });
}

bool HttpConnection::startStream(unsigned status, const std::vector<HttpHeader> &headers)
{
    http::response<http::empty_body> message(static_cast<http::status>(status), kHttpVersion);
    setHeaders(message, headers);
    message.keep_alive(keepAlive_);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    hasAnswered_ = true;
    isStreaming_ = true;
    return write(
        [&](auto handler) { http::async_write_header(stream_, serializer, std::move(handler)); });
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
