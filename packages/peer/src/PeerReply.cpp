#include "boragerack/peer/PeerReply.h"

#include <utility>

#include "ReplySink.h"

namespace boragerack::peer {

PeerReply::PeerReply() = default;

PeerReply::PeerReply(std::shared_ptr<ReplySink> sink, std::int32_t stream, RequestIdentity request)
    : sink_(std::move(sink))
    , stream_(stream)
    , request_(std::move(request))
{
}

PeerReply::PeerReply(PeerReply &&other) noexcept = default;

PeerReply &PeerReply::operator=(PeerReply &&other) noexcept
{
    std::swap(sink_, other.sink_);
    std::swap(stream_, other.stream_);
    std::swap(request_, other.request_);
    return *this;
}

PeerReply::~PeerReply()
{
    if (const auto sink = std::exchange(sink_, nullptr))
        sink->deliver({stream_, std::move(request_), std::nullopt, false});
}

void PeerReply::answer(MessageBody body)
{
    if (const auto sink = std::exchange(sink_, nullptr))
        sink->deliver({stream_, std::move(request_), std::move(body), false});
}

void PeerReply::refuse(core::Error error)
{
    answer(std::move(error));
}

void PeerReply::reject()
{
    if (const auto sink = std::exchange(sink_, nullptr))
        sink->deliver({stream_, std::move(request_), std::nullopt, true});
}

} // namespace boragerack::peer
