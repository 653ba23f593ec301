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

/// Status line and headers of a response; the body follows in parts.
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

/// The body ended as the server announced it.
struct HttpCompleted
{
    friend auto operator<=>(const HttpCompleted &, const HttpCompleted &) = default;
};

/// The connection is open; nothing has been sent yet.
struct HttpConnected
{
    friend auto operator<=>(const HttpConnected &, const HttpConnected &) = default;
};

using HttpEvent =
    std::variant<HttpConnected, HttpResponseHead, HttpBodyPart, HttpCompleted, core::Error>;

/// One request on its way and its response. A fiber of its own owns the socket and sends events;
/// this object is the receiving end.
class HttpExchange
{
public:
    class State;

    explicit HttpExchange(std::shared_ptr<State> state);
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;
    /// Cancels the exchange if it has not ended.
    ~HttpExchange();

    /// Sends the request as soon as the connection is open. Once an exchange.
    void send(HttpRequest request);

    /// Next event, or nothing when the time comes first. After HttpCompleted or an Error there are
    /// no further events.
    std::optional<HttpEvent> receiveUntil(core::TimePoint deadline);

    /// Closes the connection.
    void cancel();

    /// MayHaveRun from the moment before the first byte of the request is written.
    core::Verdict verdict() const;

private:
    std::shared_ptr<State> state_;
};

} // namespace boragerack::runtime
