#include "ResponseFramer.h"

#include <utility>

namespace boragerack::node {

namespace {

constexpr std::string_view kDoneEvent = "data: [DONE]\n\n";

} // namespace

std::vector<ResponseChunk> EventStreamFramer::add(std::string_view bytes)
{
    std::vector<ResponseChunk> chunks;
    for (std::string &event : splitter_.add(bytes)) {
        const bool isDone = event == kDoneEvent;
        isDone_ = isDone_ || isDone;
        chunks.push_back({std::move(event), isDone ? 0U : 1U});
    }
    return chunks;
}

std::vector<ResponseChunk> EventStreamFramer::finish()
{
    return {};
}

std::vector<ResponseChunk> WholeBodyFramer::add(std::string_view bytes)
{
    body_ += bytes;
    return {};
}

std::vector<ResponseChunk> WholeBodyFramer::finish()
{
    const std::uint64_t size = body_.size();
    return {ResponseChunk {std::exchange(body_, std::string()), size}};
}

} // namespace boragerack::node
