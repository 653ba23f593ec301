#pragma once

namespace boragerack::peer {

class PeerResponder;
struct Envelope;

/// Receives the authenticated messages of other processes. All calls come from one fiber of the
/// server, so a slow handler must pass the message and the responder to another task.
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
