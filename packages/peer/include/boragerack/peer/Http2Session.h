#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "boragerack/core/Result.h"

namespace boragerack::peer {

enum class Http2Role { Client, Server };

/// Limits of one session.
struct Http2Limits
{
    std::size_t maxMessageBytes = 2 * 1024 * 1024;
    /// Total size of the incomplete messages of all streams.
    std::size_t maxBufferedBytes = 4 * 1024 * 1024;
    std::uint32_t maxConcurrentStreams = 256;

    friend bool operator==(const Http2Limits &, const Http2Limits &) = default;
};

/// A complete request (server; status is 0) or a complete response (client).
struct Http2Message
{
    std::int32_t stream = 0;
    int status = 0;
    std::string body;

    friend bool operator==(const Http2Message &, const Http2Message &) = default;
};

/// A stream that ended before its message was complete.
struct Http2StreamFailure
{
    std::int32_t stream = 0;
    core::Error error;

    friend bool operator==(const Http2StreamFailure &, const Http2StreamFailure &) = default;
};

using Http2Event = std::variant<Http2Message, Http2StreamFailure>;

/// Protocol state of one HTTP/2 connection, independent of the socket: consumes received bytes and
/// produces events and bytes to write. Each message is the body of one stream.
class Http2Session
{
public:
    Http2Session(Http2Role role, const Http2Limits &limits);
    Http2Session(const Http2Session &) = delete;
    Http2Session &operator=(const Http2Session &) = delete;
    ~Http2Session();

    /// Client: opens a stream with the body and returns its identifier.
    core::Result<std::int32_t> submitRequest(std::string body);

    /// Server: sends the response on a stream. Does nothing if the stream has already ended.
    void submitResponse(std::int32_t stream, int status, std::string body);

    /// Ends the stream on both sides without an event.
    void cancel(std::int32_t stream);

    /// Queues a PING frame, which the other side must acknowledge.
    void submitPing();

    /// Server: queues a GOAWAY frame. Open streams finish; the client opens no new ones.
    void submitGoAway();

    /// Processes bytes read from the connection. On an error the connection must be closed.
    core::Result<core::Nothing> receive(std::string_view bytes);

    /// Returns bytes to write; empty when there are none. May exceed `maxBytes` by one frame.
    std::string takeOutput(std::size_t maxBytes);

    /// Returns the events since the last call, in order.
    std::vector<Http2Event> takeEvents();

    /// Ends all streams because the connection is lost. Requests of which takeOutput has returned
    /// no byte are reported as not run.
    std::vector<Http2Event> failAll(const std::string &reason);

    bool isSent(std::int32_t stream) const;
    std::size_t openStreams() const;
    /// True when nothing more can be received or sent on the connection.
    bool isFinished() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace boragerack::peer
