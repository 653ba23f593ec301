#include "boragerack/runtime/ServerSentEventSplitter.h"

namespace boragerack::runtime {

std::vector<std::string> ServerSentEventSplitter::add(std::string_view bytes)
{
    constexpr std::string_view kEventEnd = "\n\n";
    // The terminator of an event may begin with the last byte of the preceding call.
    std::size_t searchFrom = buffer_.empty() ? 0 : buffer_.size() - 1;
    buffer_ += bytes;
    std::vector<std::string> events;
    std::size_t start = 0;
    for (auto end = buffer_.find(kEventEnd, searchFrom); end != std::string::npos;
         end = buffer_.find(kEventEnd, searchFrom)) {
        searchFrom = end + kEventEnd.size();
        events.push_back(buffer_.substr(start, searchFrom - start));
        start = searchFrom;
    }
    buffer_.erase(0, start);
    return events;
}

} // namespace boragerack::runtime
