#include "CallerSink.h"

#include "CallerError.h"

namespace boragerack::node {

namespace {

constexpr unsigned kStatusOk = 200;

} // namespace

CallerSink::CallerSink(runtime::HttpResponder &responder, bool isStream, const core::Clock &clock)
    : responder_(responder)
    , isStream_(isStream)
    , clock_(clock)
{
}

bool CallerSink::writeHead(const runtime::HttpResponseHead &head)
{
    const std::string contentType(runtime::findHeader(head.headers, "Content-Type"));
    response_.status = head.status;
    if (!contentType.empty())
        response_.headers = {{"Content-Type", contentType}};
    if (!isStream_ || head.status != kStatusOk)
        return true;
    return responder_.startStream(head.status, response_.headers);
}

bool CallerSink::writePart(std::string_view part)
{
    const core::TimePoint now = clock_.now();
    if (!firstPartAt_)
        firstPartAt_ = now;
    else if (isStream_)
        gaps_.push_back(now - lastPartAt_);
    lastPartAt_ = now;
    if (isStream_ && response_.status == kStatusOk)
        return responder_.writePart(part);
    response_.body += part;
    return true;
}

void CallerSink::finish(const ForwardingResult &result)
{
    const bool hasStartedStream = result.hasStarted && isStream_ && response_.status == kStatusOk;
    if (!result.error && hasStartedStream) {
        responder_.finishStream();
    } else if (!result.error) {
        responder_.send(response_);
    } else if (hasStartedStream) {
        responder_.writePart("data: " + serialiseError(*result.error) + "\n\n");
        responder_.abortConnection();
    } else {
        responder_.send(makeErrorResponse(*result.error));
    }
}

} // namespace boragerack::node
