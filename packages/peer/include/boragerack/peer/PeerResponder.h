#pragma once

#include <cstdint>
#include <memory>

#include "boragerack/core/Error.h"
#include "boragerack/peer/MessageAuthenticator.h"
#include "boragerack/peer/Messages.h"

namespace boragerack::peer {

class ReplySink;

/// Move-only handle that sends at most one reply to a request. Destroying it unused acknowledges
/// the message without a reply, as for messages sent with PeerTransport::send.
class PeerResponder
{
public:
    PeerResponder();
    PeerResponder(std::shared_ptr<ReplySink> sink, std::int32_t stream, ReplyContext request);
    PeerResponder(PeerResponder &&other) noexcept;
    PeerResponder &operator=(PeerResponder &&other) noexcept;
    ~PeerResponder();

    /// Suspends the calling fiber while the mailbox of the connection is full.
    void sendReply(MessageBody body);

    /// Replies with the error, including its verdict.
    void sendError(core::Error error);

    /// Rejects the message as unauthenticated, without details for the caller.
    void rejectUnauthenticated();

private:
    std::shared_ptr<ReplySink> sink_;
    std::int32_t stream_ = 0;
    ReplyContext request_;
};

} // namespace boragerack::peer
