#pragma once

#include <cstdint>
#include <optional>

#include "boragerack/peer/MessageAuthenticator.h"
#include "boragerack/peer/Messages.h"

namespace boragerack::peer {

/// Outcome of one request: a reply, no reply, or a failed authentication.
struct RequestOutcome
{
    std::int32_t stream = 0;
    ReplyContext request;
    std::optional<MessageBody> answer;
    bool isRejected = false;
};

/// Receives the outcomes of the requests of one connection.
class ReplySink
{
public:
    ReplySink() = default;
    ReplySink(const ReplySink &) = delete;
    ReplySink &operator=(const ReplySink &) = delete;
    virtual ~ReplySink() = default;

    virtual void deliver(RequestOutcome outcome) = 0;
};

} // namespace boragerack::peer
