#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace boragerack::runtime {

/// Splits the body of an event stream into events, each with its terminating blank line.
class ServerSentEventSplitter
{
public:
    /// Appends the bytes and returns the events that they complete.
    std::vector<std::string> add(std::string_view bytes);

    /// Bytes of the last event, which is not complete.
    const std::string &rest() const { return buffer_; }

private:
    std::string buffer_;
};

} // namespace boragerack::runtime
