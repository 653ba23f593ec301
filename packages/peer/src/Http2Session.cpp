#include "boragerack/peer/Http2Session.h"

#include <utility>

#include "Http2Implementation.h"

namespace boragerack::peer {

Http2Session::Http2Session(Http2Role role, const Http2Limits &limits)
    : implementation_(std::make_unique<Implementation>(role, limits))
{
}

Http2Session::~Http2Session() = default;

core::Result<std::int32_t> Http2Session::submitRequest(std::string body)
{
    return implementation_->submitRequest(std::move(body));
}

void Http2Session::submitResponse(std::int32_t stream, int status, std::string body)
{
    implementation_->submitResponse(stream, status, std::move(body));
}

void Http2Session::cancel(std::int32_t stream)
{
    implementation_->cancel(stream);
}

void Http2Session::submitPing()
{
    implementation_->submitPing();
}

void Http2Session::submitGoAway()
{
    implementation_->submitGoAway();
}

core::Result<core::Nothing> Http2Session::receive(std::string_view bytes)
{
    return implementation_->receive(bytes);
}

std::string Http2Session::takeOutput(std::size_t maxBytes)
{
    return implementation_->takeOutput(maxBytes);
}

std::vector<Http2Event> Http2Session::takeEvents()
{
    return implementation_->takeEvents();
}

std::vector<Http2Event> Http2Session::failAll(const std::string &reason)
{
    return implementation_->failAll(reason);
}

bool Http2Session::isSent(std::int32_t stream) const
{
    return implementation_->isSent(stream);
}

std::size_t Http2Session::openStreams() const
{
    return implementation_->openStreams();
}

bool Http2Session::isFinished() const
{
    return implementation_->isFinished();
}

} // namespace boragerack::peer
