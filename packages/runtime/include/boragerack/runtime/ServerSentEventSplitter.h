#pragma once

#include <cstddef>
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

    /// The last event exceeds the size of any event; more bytes must not be added.
    bool isTooLong() const { return buffer_.size() > kMaxEventBytes; }
    /// Bytes of the last event, which is not complete.
    const std::string &rest() const { return buffer_; }

private:
    static constexpr std::size_t kMaxEventBytes = 1024 * 1024;

    std::string buffer_;
};

} // namespace boragerack::runtime
