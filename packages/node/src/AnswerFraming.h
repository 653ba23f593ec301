#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "boragerack/runtime/EventSplitter.h"

namespace boragerack::node {

/// A piece of an answer that is forwarded as a whole, and how many units it counts for.
struct AnswerPiece
{
    std::string text;
    std::uint64_t units = 0;

    friend auto operator<=>(const AnswerPiece &, const AnswerPiece &) = default;
};

/// Cuts the body of an answer into pieces.
class AnswerFraming
{
public:
    AnswerFraming() = default;
    AnswerFraming(const AnswerFraming &) = delete;
    AnswerFraming &operator=(const AnswerFraming &) = delete;
    virtual ~AnswerFraming() = default;

    /// Pieces that the bytes complete.
    virtual std::vector<AnswerPiece> add(std::string_view bytes) = 0;
    /// Pieces left at the end of the body.
    virtual std::vector<AnswerPiece> finish() = 0;
    /// Whether the body ended where its format allows.
    virtual bool isComplete() const = 0;
    /// Whether pieces are forwarded as they come; otherwise the answer is held back to its end.
    virtual bool isStream() const = 0;
};

/// Server-sent events; each is one token, but for the closing "[DONE]".
class EventStreamFraming final : public AnswerFraming
{
public:
    std::vector<AnswerPiece> add(std::string_view bytes) override;
    std::vector<AnswerPiece> finish() override;
    bool isComplete() const override { return isDone_; }
    bool isStream() const override { return true; }

private:
    runtime::EventSplitter splitter_;
    bool isDone_ = false;
};

/// The whole body as one piece, counted in bytes. Nothing reaches the caller before the end, so a
/// broken answer can be fetched again from another target.
class WholeBodyFraming final : public AnswerFraming
{
public:
    std::vector<AnswerPiece> add(std::string_view bytes) override;
    std::vector<AnswerPiece> finish() override;
    bool isComplete() const override { return true; }
    bool isStream() const override { return false; }

private:
    std::string body_;
};

} // namespace boragerack::node
