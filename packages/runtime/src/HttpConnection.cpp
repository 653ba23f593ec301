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
        message.set(header.name, header.value);
}

} // namespace

HttpConnection::HttpConnection(boost::beast::tcp_stream stream, HttpHandler &handler,
                               const HttpLimits &limits)
    : stream_(std::move(stream))
    , buffer_(limits.maxHeaderBytes + limits.maxBodyBytes)
    , handler_(handler)
    , limits_(limits)
{
    boost::system::error_code ignored;
    stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
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

bool HttpConnection::serveOne()
{
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits_.maxHeaderBytes));
    parser.body_limit(limits_.maxBodyBytes);
    stream_.expires_after(limits_.idleTimeout);
    const IoResult read = awaitIo(
        [&](auto handler) { http::async_read(stream_, buffer_, parser, std::move(handler)); });
    if (read.error) {
        refuseMalformed(read.error);
        return false;
    }

    isBusy_ = true;
    hasAnswered_ = false;
    keepAlive_ = keepAlive_ && parser.get().keep_alive();
    // No read is pending while the handler works, so the idle limit must not end the connection.
    stream_.expires_never();
    handler_.handle(makeRequest(parser.release()), *this);
    isBusy_ = false;
    if (isStreaming_)
        abandon();
    return hasAnswered_;
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
    if (status == 0)
        return;
    keepAlive_ = false;
    send({status,
          {{"Content-Type", "application/json"}},
          "{\"error\":{\"code\":\"invalid_request\",\"message\":\"" + error.message()
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

void HttpConnection::abandon()
{
    keepAlive_ = false;
    if (isStreaming_) {
        isStreaming_ = false;
        stream_.close();
    }
}

} // namespace boragerack::runtime
