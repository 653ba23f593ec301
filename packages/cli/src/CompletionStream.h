#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragerack::cli {

/// Code and verdict of an error response.
struct ErrorResponse
{
    std::string code;
    std::string verdict;

    friend auto operator<=>(const ErrorResponse &, const ErrorResponse &) = default;
};

/// Reads `{"error":{"code","verdict",...}}`; returns nothing for any other text.
std::optional<ErrorResponse> parseErrorResponse(std::string_view text);

/// Parses the server-sent events of a streamed completion.
class CompletionStream
{
public:
    /// Appends received bytes and returns the number of token events completed by them.
    std::size_t add(std::string_view bytes);

    /// Whether the final event was received, so the response is complete.
    bool isDone() const { return isDone_; }
    const std::optional<ErrorResponse> &errorResponse() const { return errorResponse_; }

private:
    std::string buffer_;
    bool isDone_ = false;
    std::optional<ErrorResponse> errorResponse_;
};

/// Request body of a streamed completion. The prompt differs for each `index` of a run.
std::string makeCompletionBody(const std::string &model, std::int64_t seed, std::size_t index,
                               std::int64_t promptWords, std::int64_t maxTokens);

} // namespace boragerack::cli
