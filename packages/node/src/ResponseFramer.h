#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "boragerack/runtime/ServerSentEventSplitter.h"

namespace boragerack::node {

/// A part of a response that is forwarded unsplit, and its size in units: tokens for an event
/// stream, bytes otherwise.
struct ResponseChunk
{
    std::string text;
    std::uint64_t units = 0;

    friend auto operator<=>(const ResponseChunk &, const ResponseChunk &) = default;
};

/// Splits the body of a response into chunks.
class ResponseFramer
{
public:
    ResponseFramer() = default;
    ResponseFramer(const ResponseFramer &) = delete;
    ResponseFramer &operator=(const ResponseFramer &) = delete;
    virtual ~ResponseFramer() = default;

    /// Returns the chunks that these bytes complete.
    virtual std::vector<ResponseChunk> add(std::string_view bytes) = 0;
    /// Returns the chunks that remain at the end of the body.
    virtual std::vector<ResponseChunk> finish() = 0;
    /// Bytes kept for the chunk that is not complete.
    virtual std::size_t bufferedBytes() const = 0;
    /// The chunk that is not complete exceeds the size of any chunk; more must not be added.
    virtual bool isTooLong() const = 0;
    /// Whether the body ended where its format allows.
    virtual bool isComplete() const = 0;
    /// Whether chunks are forwarded as they arrive; otherwise the response is buffered to its end.
    virtual bool isStream() const = 0;
};

/// Splits a stream of server-sent events. Each event counts as one token, except the final
/// "[DONE]", which counts as none.
class EventStreamFramer final : public ResponseFramer
{
public:
    std::vector<ResponseChunk> add(std::string_view bytes) override;
    std::vector<ResponseChunk> finish() override;
    std::size_t bufferedBytes() const override { return splitter_.rest().size(); }
    bool isTooLong() const override { return splitter_.isTooLong(); }
    bool isComplete() const override { return isDone_; }
    bool isStream() const override { return true; }

private:
    runtime::ServerSentEventSplitter splitter_;
    bool isDone_ = false;
};

/// Buffers the body into one chunk, counted in bytes. Nothing is sent to the caller before the end,
/// so a truncated response can be requested again from another target.
class WholeBodyFramer final : public ResponseFramer
{
public:
    std::vector<ResponseChunk> add(std::string_view bytes) override;
    std::vector<ResponseChunk> finish() override;
    std::size_t bufferedBytes() const override { return body_.size(); }
    /// The client limits the size of a response.
    bool isTooLong() const override { return false; }
    bool isComplete() const override { return true; }
    bool isStream() const override { return false; }

private:
    std::string body_;
};

} // namespace boragerack::node
