#pragma once

#include <chrono>
#include <cstddef>

#include "boragerack/peer/Http2Session.h"

namespace boragerack::peer {

/// Bounds and times of one link.
struct PeerLinkOptions
{
    Http2Limits http2;
    /// A power of two.
    std::size_t mailboxCapacity = 256;
    std::chrono::milliseconds connectTimeout = std::chrono::milliseconds(1000);
    std::chrono::milliseconds writeTimeout = std::chrono::milliseconds(2000);
    /// A message without an answer is forgotten after this time.
    std::chrono::milliseconds sendTimeout = std::chrono::milliseconds(5000);
    /// Without a received byte for this time while an answer is due, the connection is probed.
    std::chrono::milliseconds keepaliveInterval = std::chrono::milliseconds(1000);
    /// Without a received byte for this time after the probe, the connection is replaced.
    std::chrono::milliseconds keepaliveTimeout = std::chrono::milliseconds(1000);
    std::chrono::milliseconds firstBackoff = std::chrono::milliseconds(50);
    std::chrono::milliseconds maxBackoff = std::chrono::milliseconds(2000);

    friend bool operator==(const PeerLinkOptions &, const PeerLinkOptions &) = default;
};

/// Bounds and times of a server.
struct PeerServerOptions
{
    Http2Limits http2;
    /// Powers of two.
    std::size_t inboxCapacity = 1024;
    std::size_t connectionMailboxCapacity = 256;
    std::size_t maxConnections = 1024;
    std::chrono::milliseconds writeTimeout = std::chrono::milliseconds(2000);
    std::chrono::milliseconds unusedTimeout = std::chrono::seconds(60);
    /// Open streams get this time to end when the server stops.
    std::chrono::milliseconds drainTimeout = std::chrono::seconds(5);

    friend bool operator==(const PeerServerOptions &, const PeerServerOptions &) = default;
};

} // namespace boragerack::peer
