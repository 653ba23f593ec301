#pragma once

#include <optional>
#include <string>
#include <vector>

#include "RequestForwarder.h"
#include "ResponseSink.h"
#include "boragerack/core/Clock.h"
#include "boragerack/runtime/HttpResponder.h"

namespace boragerack::node {

/// Sends a response to the caller: a stream part by part, any other response as a whole.
class CallerSink final : public ResponseSink
{
public:
    CallerSink(runtime::HttpResponder &responder, bool isStream, const core::Clock &clock);

    bool writeHead(const runtime::HttpResponseHead &head) override;
    bool writePart(std::string_view part) override;

    /// Ends the response. A failed stream ends with an error event and a closed connection, so that
    /// it cannot be mistaken for a complete response.
    void finish(const ForwardingResult &result);

    const std::optional<core::TimePoint> &firstPartAt() const { return firstPartAt_; }
    /// Time intervals between successive parts of a stream.
    const std::vector<core::Duration> &gaps() const { return gaps_; }
    /// The complete response, if it is not a stream.
    const runtime::HttpResponse &response() const { return response_; }

private:
    runtime::HttpResponder &responder_;
    bool isStream_;
    const core::Clock &clock_;
    runtime::HttpResponse response_;
    std::optional<core::TimePoint> firstPartAt_;
    core::TimePoint lastPartAt_;
    std::vector<core::Duration> gaps_;
};

} // namespace boragerack::node
