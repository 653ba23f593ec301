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

    /// Suspends the calling fiber until the answer arrives or the deadline passes. The verdict of
    /// an error says whether the peer may have handled the message.
    virtual core::Result<Envelope> call(const core::InstanceId &receiver, MessageBody body,
                                        core::TimePoint deadline) = 0;

    /// Hands a message over without waiting; it may still be lost. An error says that it was not
    /// accepted.
    virtual core::Result<core::Nothing> send(const core::InstanceId &receiver,
                                             MessageBody body) = 0;
};

} // namespace boragerack::peer
