#include "boragerack/peer/PeerResponder.h"

#include <utility>

#include "ReplySink.h"

namespace boragerack::peer {

PeerResponder::PeerResponder() = default;

PeerResponder::PeerResponder(std::shared_ptr<ReplySink> sink, std::int32_t stream,
                             ReplyContext request)
    : sink_(std::move(sink))
    , stream_(stream)
    , request_(std::move(request))
{
}

PeerResponder::PeerResponder(PeerResponder &&other) noexcept = default;

PeerResponder &PeerResponder::operator=(PeerResponder &&other) noexcept
{
    std::swap(sink_, other.sink_);
    std::swap(stream_, other.stream_);
    std::swap(request_, other.request_);
    return *this;
}

PeerResponder::~PeerResponder()
{
    if (const auto sink = std::exchange(sink_, nullptr))
        sink->deliver({stream_, std::move(request_), std::nullopt, false});
}

void PeerResponder::sendReply(MessageBody body)
{
    if (const auto sink = std::exchange(sink_, nullptr))
        sink->deliver({stream_, std::move(request_), std::move(body), false});
}

void PeerResponder::sendError(core::Error error)
{
    sendReply(std::move(error));
}

void PeerResponder::rejectUnauthenticated()
{
    if (const auto sink = std::exchange(sink_, nullptr))
        sink->deliver({stream_, std::move(request_), std::nullopt, true});
}

} // namespace boragerack::peer
