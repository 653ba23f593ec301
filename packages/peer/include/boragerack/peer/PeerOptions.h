#pragma once

#include <chrono>
#include <cstddef>

#include "boragerack/peer/Http2Session.h"

namespace boragerack::peer {

/// Limits and timeouts of one link.
struct PeerLinkOptions
{
    Http2Limits http2;
    /// Must be a power of two.
    std::size_t mailboxCapacity = 256;
    std::chrono::milliseconds connectTimeout = std::chrono::milliseconds(1000);
    std::chrono::milliseconds writeTimeout = std::chrono::milliseconds(2000);
    /// Deadline of a message sent with PeerLink::send.
    std::chrono::milliseconds sendTimeout = std::chrono::milliseconds(5000);
    /// A PING is sent if no byte is received for this time while a reply is awaited.
    std::chrono::milliseconds keepaliveInterval = std::chrono::milliseconds(1000);
    /// The connection is replaced if no byte is received for this time after the PING.
    std::chrono::milliseconds keepaliveTimeout = std::chrono::milliseconds(1000);
    std::chrono::milliseconds firstBackoff = std::chrono::milliseconds(50);
    std::chrono::milliseconds maxBackoff = std::chrono::milliseconds(2000);

    friend bool operator==(const PeerLinkOptions &, const PeerLinkOptions &) = default;
};

/// Limits and timeouts of a server.
struct PeerServerOptions
{
    Http2Limits http2;
    /// Mailbox capacities; must be powers of two.
    std::size_t inboxCapacity = 1024;
    std::size_t connectionMailboxCapacity = 256;
    std::size_t maxConnections = 1024;
    std::chrono::milliseconds writeTimeout = std::chrono::milliseconds(2000);
    std::chrono::milliseconds unusedTimeout = std::chrono::seconds(60);
    /// Time limit for open streams to finish when the server stops.
    std::chrono::milliseconds drainTimeout = std::chrono::seconds(5);

    friend bool operator==(const PeerServerOptions &, const PeerServerOptions &) = default;
};

} // namespace boragerack::peer
