#pragma once

namespace boragerack::peer {

class PeerResponder;
struct Envelope;

/// Receives the authenticated messages of other processes. All calls come from one fiber of the
/// server, so a handler that takes long passes the message and the reply on to a task.
class PeerHandler
{
public:
    PeerHandler() = default;
    PeerHandler(const PeerHandler &) = delete;
    PeerHandler &operator=(const PeerHandler &) = delete;
    virtual ~PeerHandler() = default;

    virtual void handle(const Envelope &request, PeerResponder reply) = 0;
};

} // namespace boragerack::peer
