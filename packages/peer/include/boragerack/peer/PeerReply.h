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
class PeerReply
{
public:
    PeerReply();
    PeerReply(std::shared_ptr<ReplySink> sink, std::int32_t stream, RequestIdentity request);
    PeerReply(PeerReply &&other) noexcept;
    PeerReply &operator=(PeerReply &&other) noexcept;
    ~PeerReply();

    /// Waits while the connection has many answers to write.
    void answer(MessageBody body);

    /// The caller gets the error with its verdict.
    void refuse(core::Error error);

    /// The message failed authentication; the caller learns nothing more.
    void reject();

private:
    std::shared_ptr<ReplySink> sink_;
    std::int32_t stream_ = 0;
    RequestIdentity request_;
};

} // namespace boragerack::peer
