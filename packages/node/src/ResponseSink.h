#pragma once

#include <string>
#include <string_view>

#include "boragerack/runtime/HttpExchange.h"

namespace boragerack::node {

/// Receives the parts of a response. Both methods return false once the receiver accepts no more.
class ResponseSink
{
public:
    ResponseSink() = default;
    ResponseSink(const ResponseSink &) = delete;
    ResponseSink &operator=(const ResponseSink &) = delete;
    virtual ~ResponseSink() = default;

    virtual bool writeHead(const runtime::HttpResponseHead &head) = 0;
    virtual bool writePart(std::string_view part) = 0;
};

} // namespace boragerack::node
