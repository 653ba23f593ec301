#pragma once

#include <cstdint>
#include <memory>

#include "boragerack/core/Error.h"
#include "boragerack/peer/MessageAuthenticator.h"
#include "boragerack/peer/Messages.h"

namespace boragerack::peer {

class ReplySink;

/// The right to answer one request, once. Dropping it confirms the message without an answer, as
/// for messages that were sent and not called.
class PeerResponder
{
public:
    PeerResponder();
    PeerResponder(std::shared_ptr<ReplySink> sink, std::int32_t stream, ReplyContext request);
    PeerResponder(PeerResponder &&other) noexcept;
    PeerResponder &operator=(PeerResponder &&other) noexcept;
    ~PeerResponder();

    /// Waits while the connection has many answers to write.
    void sendReply(MessageBody body);

    /// The caller gets the error with its verdict.
    void sendError(core::Error error);

    /// The message failed authentication; the caller learns nothing more.
    void rejectUnauthenticated();

private:
    std::shared_ptr<ReplySink> sink_;
    std::int32_t stream_ = 0;
    ReplyContext request_;
};

} // namespace boragerack::peer
