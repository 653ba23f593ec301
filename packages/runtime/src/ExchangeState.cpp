#include "ExchangeState.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include "HttpHead.h"
#include "boragerack/runtime/Address.h"
#include "boragerack/runtime/Await.h"
#include "boragerack/runtime/ExceptionBoundary.h"

namespace boragerack::runtime {

namespace http = boost::beast::http;

namespace {

/// Parts of a response that wait for the receiver, which are in no budget.
constexpr std::size_t kEventCapacity = 4;
constexpr std::size_t kReadBytes = 16 * 1024;
/// Interim responses (status 1xx) that may precede a response.
constexpr int kMaxInterimResponses = 8;
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;

/// A request as it is written.
struct WrittenRequest
{
    std::string head;
    std::string body;
};

void setUnconfirmedTimeout(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds timeout)
{
    const auto value = static_cast<unsigned>(timeout.count());
    // If this fails, an unresponsive peer is detected only when the request times out.
    static_cast<void>(
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof(value)));
}

/// Whether HTTP defines the class of the status, and it can be an answer to a request that asks for
/// no other protocol.
bool isExpectedStatus(unsigned status)
{
    return status >= kFirstStatus && status <= kLastStatus && status != kSwitchingProtocols;
}

/// Parses "timeout=<seconds>" in a Keep-Alive header.
std::optional<std::chrono::milliseconds> parseKeepAliveTimeout(std::string_view header)
{
    constexpr std::string_view kName = "timeout=";
    const std::size_t start = header.find(kName);
    if (start == std::string_view::npos)
        return std::nullopt;
    header.remove_prefix(start + kName.size());
    unsigned seconds = 0;
    const auto [end, error] =
        std::from_chars(header.data(), header.data() + header.size(), seconds);
    if (error != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

HttpResponseHead makeHead(const http::response<http::buffer_body> &message)
{
    HttpResponseHead head;
    head.status = message.result_int();
    for (const auto &field : message)
        head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    return head;
}

} // namespace

HttpExchange::State::State(std::shared_ptr<HttpClient::Pool> pool, const HttpClientOptions &options,
                           std::string address, ConnectionUse use)
    : pool_(std::move(pool))
    , options_(options)
    , address_(std::move(address))
    , use_(use)
    , requests_(2)
    , events_(kEventCapacity)
{
}

void HttpExchange::State::run()
{
    if (!runGuarded("exchange", [this] { exchange(); })) {
        if (stream_)
            stream_->close();
        fail(core::ErrorCode::ConnectionFailed, "the exchange failed");
    }
    events_.close();
}

void HttpExchange::State::exchange()
{
    if (isCancelled_ || !connect() || !events_.send(HttpConnected()))
        return;
    if (auto request = requests_.receive(); request && !isCancelled_) {
        request_ = std::move(*request);
        startWriting();
        readResponse();
    }
}

void HttpExchange::State::send(HttpRequest request)
{
    static_cast<void>(requests_.trySend(std::move(request)));
}

std::optional<HttpEvent> HttpExchange::State::receiveUntil(core::TimePoint deadline)
{
    return events_.receiveUntil(deadline);
}

void HttpExchange::State::cancel()
{
    isCancelled_ = true;
    events_.close();
    requests_.close();
    // The fiber may run much later, and the server works on until the connection is closed.
    if (stream_)
        stream_->close();
}

void HttpExchange::State::fail(core::ErrorCode code, const std::string &reason)
{
    static_cast<void>(events_.send(
        core::Error {code, verdict_, address_ + ": " + reason, std::chrono::milliseconds(0)}));
}

bool HttpExchange::State::connect()
{
    if (use_ == ConnectionUse::KeptOrNew)
        stream_ = pool_->acquire(address_);
    if (stream_)
        return !isCancelled_;

    const auto endpoint = parseEndpoint(address_);
    if (!endpoint) {
        fail(core::ErrorCode::ConnectionFailed, "not an address <ip>:<port>");
        return false;
    }
    stream_ = std::make_shared<boost::beast::tcp_stream>(pool_->ioContext());
    stream_->expires_after(options_.connectTimeout);
    const IoResult connected =
        awaitIo([&](auto handler) { stream_->async_connect(*endpoint, std::move(handler)); });
    if (connected.error) {
        fail(core::ErrorCode::ConnectionFailed, connected.error.message());
        return false;
    }
    boost::system::error_code ignored;
    stream_->socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    if (options_.unconfirmedTimeout.count() > 0)
        setUnconfirmedTimeout(stream_->socket(), options_.unconfirmedTimeout);
    return !isCancelled_;
}

void HttpExchange::State::startWriting()
{
    verdict_ = core::Verdict::MayHaveRun;
    stream_->expires_after(options_.inactivityTimeout);
    // Keeps the request alive until the write completes, which may be after the response.
    const auto request = std::make_shared<const WrittenRequest>(
        WrittenRequest {formatRequestHead(request_, address_), std::move(request_.body)});
    const std::array parts {boost::asio::buffer(request->head), boost::asio::buffer(request->body)};
    boost::asio::async_write(*stream_, parts,
                             [self = shared_from_this(), request, stream = stream_](
                                 const boost::system::error_code &error, std::size_t) {
                                 self->isWritten_ = !error;
                                 self->written_.set(!error);
                             });
}

bool HttpExchange::State::readHead(Parser &parser)
{
    parser.body_limit(options_.maxResponseBytes);
    if (request_.method == "HEAD")
        parser.skip(true);
    const IoResult head = awaitIo([&](auto handler) {
        http::async_read_header(*stream_, buffer_, parser, std::move(handler));
    });
    if (head.error)
        fail(core::ErrorCode::ConnectionFailed, head.error.message());
    return !head.error;
}

void HttpExchange::State::readResponse()
{
    std::optional<Parser> finalParser;
    for (int i = 0; i <= kMaxInterimResponses; ++i) {
        finalParser.emplace();
        if (!readHead(*finalParser))
            return;
        const unsigned status = finalParser->get().result_int();
        if (!isExpectedStatus(status)) {
            fail(core::ErrorCode::ProtocolViolation, "invalid status " + std::to_string(status));
            return;
        }
        if (status >= kFirstFinalStatus)
            break;
    }
    Parser &parser = *finalParser;
    if (parser.get().result_int() < kFirstFinalStatus) {
        fail(core::ErrorCode::ProtocolViolation, "too many interim responses");
        return;
    }
    verdict_ = core::Verdict::Ran;
    head_ = makeHead(parser.get());
    if (!events_.send(head_))
        return;

    const bool isFramed = !parser.need_eof();
    std::array<char, kReadBytes> bytes;
    while (!parser.is_done()) {
        parser.get().body().data = bytes.data();
        parser.get().body().size = bytes.size();
        stream_->expires_after(options_.inactivityTimeout);
        const IoResult part = awaitIo([&](auto handler) {
            http::async_read_some(*stream_, buffer_, parser, std::move(handler));
        });
        if (part.error && part.error != http::error::need_buffer) {
            fail(core::ErrorCode::ConnectionFailed, part.error.message());
            return;
        }
        const std::size_t size = bytes.size() - parser.get().body().size;
        if (size > 0 && !events_.send(HttpBodyPart {std::string(bytes.data(), size)}))
            return;
    }
    // A reset that ends the write is not reported to the read as well, which then sees the end of
    // the connection.
    if (!isFramed && !waitUntilWritten()) {
        fail(core::ErrorCode::ConnectionFailed,
             "the connection ended before the request was written");
        return;
    }
    stream_->expires_never();
    if (use_ != ConnectionUse::SingleUse && parser.keep_alive() && buffer_.size() == 0
        && !isCancelled_ && isWritten_.value_or(false))
        keepConnection(head_);
    else
        stream_->close();
    static_cast<void>(events_.send(HttpCompleted {isFramed}));
}

bool HttpExchange::State::waitUntilWritten()
{
    if (!isWritten_)
        written_.waitUntil(std::chrono::steady_clock::now() + options_.inactivityTimeout);
    return isWritten_.value_or(false);
}

void HttpExchange::State::keepConnection(const HttpResponseHead &head)
{
    // The server closes idle connections at its own timeout; a request sent at that moment would be
    // lost.
    constexpr std::chrono::milliseconds kIdleMargin(1000);
    std::chrono::milliseconds idle = options_.idleTimeout;
    if (const auto announced = parseKeepAliveTimeout(findHeader(head.headers, "Keep-Alive")))
        idle = std::min(idle, *announced - kIdleMargin);
    if (idle.count() > 0)
        pool_->release(address_, std::move(stream_), std::chrono::steady_clock::now() + idle);
}

} // namespace boragerack::runtime
