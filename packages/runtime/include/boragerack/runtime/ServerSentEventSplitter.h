#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace boragerack::runtime {

/// Cuts the body of an event stream into events, each with the blank line that ends it.
class ServerSentEventSplitter
{
public:
    /// Events that the bytes complete.
    std::vector<std::string> add(std::string_view bytes);

    /// Bytes of an event that is not complete.
    const std::string &rest() const { return buffer_; }

private:
    std::string buffer_;
};

} // namespace boragerack::runtime
