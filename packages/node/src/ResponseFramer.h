#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "boragerack/runtime/ServerSentEventSplitter.h"

namespace boragerack::node {

/// A piece of an answer that is forwarded as a whole, and how many units it counts for.
struct ResponseChunk
{
    std::string text;
    std::uint64_t units = 0;

    friend auto operator<=>(const ResponseChunk &, const ResponseChunk &) = default;
};

/// Cuts the body of an answer into pieces.
class ResponseFramer
{
public:
    ResponseFramer() = default;
    ResponseFramer(const ResponseFramer &) = delete;
    ResponseFramer &operator=(const ResponseFramer &) = delete;
    virtual ~ResponseFramer() = default;

    /// Pieces that the bytes complete.
    virtual std::vector<ResponseChunk> add(std::string_view bytes) = 0;
    /// Pieces left at the end of the body.
    virtual std::vector<ResponseChunk> finish() = 0;
    /// Whether the body ended where its format allows.
    virtual bool isComplete() const = 0;
    /// Whether pieces are forwarded as they come; otherwise the answer is held back to its end.
    virtual bool isStream() const = 0;
};

/// Server-sent events; each is one token, but for the closing "[DONE]".
class EventStreamFramer final : public ResponseFramer
{
public:
    std::vector<ResponseChunk> add(std::string_view bytes) override;
    std::vector<ResponseChunk> finish() override;
    bool isComplete() const override { return isDone_; }
    bool isStream() const override { return true; }

private:
    runtime::ServerSentEventSplitter splitter_;
    bool isDone_ = false;
};

/// The whole body as one piece, counted in bytes. Nothing reaches the caller before the end, so a
/// broken answer can be fetched again from another target.
class WholeBodyFramer final : public ResponseFramer
{
public:
    std::vector<ResponseChunk> add(std::string_view bytes) override;
    std::vector<ResponseChunk> finish() override;
    bool isComplete() const override { return true; }
    bool isStream() const override { return false; }

private:
    std::string body_;
};

} // namespace boragerack::node
