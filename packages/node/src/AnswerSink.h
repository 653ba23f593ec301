#pragma once

#include <string>
#include <string_view>

#include "boragerack/runtime/HttpExchange.h"

namespace boragerack::node {

/// Where the parts of an answer go. Results say whether the receiver still takes them.
class AnswerSink
{
public:
    AnswerSink() = default;
    AnswerSink(const AnswerSink &) = delete;
    AnswerSink &operator=(const AnswerSink &) = delete;
    virtual ~AnswerSink() = default;

    virtual bool writeHead(const runtime::HttpResponseHead &head) = 0;
    virtual bool writePart(std::string_view part) = 0;
};

} // namespace boragerack::node
