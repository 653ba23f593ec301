#pragma once

#include "boragerack/core/Clock.h"
#include "boragerack/core/Result.h"
#include "boragerack/peer/Envelope.h"

namespace boragerack::peer {

/// Sends messages to other processes of the fleet.
class PeerTransport
{
public:
    PeerTransport() = default;
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;
    virtual ~PeerTransport() = default;

    /// Suspends the calling fiber until the reply is received or the deadline passes. The verdict
    /// of an error says whether the peer may have handled the message.
    virtual core::Result<Envelope> call(const core::InstanceId &receiver, MessageBody body,
                                        core::TimePoint deadline) = 0;

    /// Queues a message without waiting for delivery; it may still be lost. An error means that it
    /// was not queued.
    virtual core::Result<core::Nothing> send(const core::InstanceId &receiver,
                                             MessageBody body) = 0;
};

} // namespace boragerack::peer
