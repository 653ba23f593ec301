#pragma once

#include <functional>
#include <string_view>
#include <vector>

#include "boragerack/runtime/HttpMessage.h"

namespace boragerack::runtime {

/// Sends the response to one request, either complete or as a stream of parts.
class HttpResponder
{
public:
    HttpResponder() = default;
    HttpResponder(const HttpResponder &) = delete;
    HttpResponder &operator=(const HttpResponder &) = delete;
    virtual ~HttpResponder() = default;

    /// These functions return false if writing to the caller's connection failed.
    virtual bool send(const HttpResponse &response) = 0;
    virtual bool startStream(unsigned status, const std::vector<HttpHeader> &headers) = 0;
    virtual bool writePart(std::string_view part) = 0;
    virtual bool finishStream() = 0;

    /// Closes the connection after the current request, or immediately during a stream, so that a
    /// truncated response cannot be mistaken for a complete one.
    virtual void abortConnection() = 0;

    /// Sets a callback that is called once if the caller closes its connection before the response
    /// is sent. Set it before the handler first waits; it is not called after the handler returns.
    virtual void setDisconnectCallback(std::function<void()> onDisconnect) = 0;

    /// Closes the connection after the current response and announces that in its headers.
    virtual void closeAfterAnswer() = 0;
};

} // namespace boragerack::runtime
