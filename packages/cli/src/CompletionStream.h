#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragerack::cli {

/// Code and verdict of an error answer.
struct ErrorResponse
{
    std::string code;
    std::string verdict;

    friend auto operator<=>(const ErrorResponse &, const ErrorResponse &) = default;
};

/// Reads `{"error":{"code","verdict",...}}`; nothing for any other text.
std::optional<ErrorResponse> parseErrorResponse(std::string_view text);

/// Splits the server-sent events of a streamed completion.
class CompletionStream
{
public:
    /// Takes bytes as they arrive and returns the number of token events they complete.
    std::size_t add(std::string_view bytes);

    /// The final event was seen, so the answer is whole.
    bool isDone() const { return isDone_; }
    const std::optional<ErrorResponse> &errorResponse() const { return fault_; }

private:
    std::string buffer_;
    bool isDone_ = false;
    std::optional<ErrorResponse> fault_;
};

/// Body of a streamed completion whose prompt differs for every `index` of a run.
std::string makeCompletionBody(const std::string &model, std::int64_t seed, std::size_t index,
                               std::int64_t promptWords, std::int64_t maxTokens);

} // namespace boragerack::cli
