#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Error.h"
#include "boragerack/runtime/HttpMessage.h"

namespace boragerack::runtime {

/// Status code and headers of a response; the body follows in parts.
struct HttpResponseHead
{
    unsigned status = 0;
    std::vector<HttpHeader> headers;

    friend auto operator<=>(const HttpResponseHead &, const HttpResponseHead &) = default;
};

struct HttpBodyPart
{
    std::string data;

    friend auto operator<=>(const HttpBodyPart &, const HttpBodyPart &) = default;
};

/// The body has been received completely, as framed by the server.
struct HttpCompleted
{
    /// The body had a length or chunks. Otherwise it ended with the connection, which a server that
    /// crashes closes as well.
    bool isFramed = true;

    friend auto operator<=>(const HttpCompleted &, const HttpCompleted &) = default;
};

/// The connection is open; nothing has been sent yet.
struct HttpConnected
{
    friend auto operator<=>(const HttpConnected &, const HttpConnected &) = default;
};

using HttpEvent =
    std::variant<HttpConnected, HttpResponseHead, HttpBodyPart, HttpCompleted, core::Error>;

/// One request and its response. A separate fiber owns the socket and sends events, which this
/// object receives.
class HttpExchange
{
public:
    class State;

    explicit HttpExchange(std::shared_ptr<State> state);
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;
    /// Cancels the exchange if it has not finished.
    ~HttpExchange();

    /// Sends the request as soon as the connection is open. Call once per exchange.
    void send(HttpRequest request);

    /// Waits for the next event; std::nullopt when the deadline expires first. No events follow
    /// HttpCompleted or an Error.
    std::optional<HttpEvent> receiveUntil(core::TimePoint deadline);

    /// Closes the connection.
    void cancel();

    /// MayHaveRun from just before the first byte of the request is written; Ran once the response
    /// head has been received.
    core::Verdict verdict() const;

private:
    std::shared_ptr<State> state_;
};

} // namespace boragerack::runtime
