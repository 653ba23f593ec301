#pragma once

#include <functional>
#include <string_view>
#include <vector>

#include "boragerack/runtime/HttpMessage.h"

namespace boragerack::runtime {

/// Sends the answer to one request: either one full response or a stream of parts.
class HttpResponder
{
public:
    HttpResponder() = default;
    HttpResponder(const HttpResponder &) = delete;
    HttpResponder &operator=(const HttpResponder &) = delete;
    virtual ~HttpResponder() = default;

    /// The results say whether the caller's connection took the bytes.
    virtual bool send(const HttpResponse &response) = 0;
    virtual bool startStream(unsigned status, const std::vector<HttpHeader> &headers) = 0;
    virtual bool writePart(std::string_view part) = 0;
    virtual bool finishStream() = 0;

    /// Closes the connection after the current request, or at once within a stream, so that a
    /// cut answer cannot be taken for a complete one.
    virtual void abortConnection() = 0;

    /// Calls back once if the caller closes its connection before the request is answered. Set
    /// before the handler waits for anything; nothing is called after the handler returns.
    virtual void setDisconnectCallback(std::function<void()> onGone) = 0;

    /// Closes the connection after the current answer and says so in its head.
    virtual void closeAfterAnswer() = 0;
};

} // namespace boragerack::runtime
