#include "CompletionStream.h"

#include <exception>

#include <boost/json.hpp>

namespace boragerack::cli {

namespace json = boost::json;

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kErrorPrefix = "{\"error\"";
constexpr std::string_view kDone = "[DONE]";

} // namespace

std::optional<ErrorResponse> parseErrorResponse(std::string_view text)
{
    try {
        const json::value value = json::parse(text);
        const json::value &error = value.at("error");
        return ErrorResponse {json::value_to<std::string>(error.at("code")),
                              json::value_to<std::string>(error.at("verdict"))};
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::size_t CompletionStream::add(std::string_view bytes)
{
    buffer_ += bytes;
    std::size_t tokens = 0;
    std::size_t start = 0;
    for (auto end = buffer_.find(kEventEnd); end != std::string::npos;
         end = buffer_.find(kEventEnd, start)) {
        std::string_view event = std::string_view(buffer_).substr(start, end - start);
        start = end + kEventEnd.size();
        if (!event.starts_with(kDataPrefix))
            continue;
        event.remove_prefix(kDataPrefix.size());
        if (event == kDone)
            isDone_ = true;
        else if (event.starts_with(kErrorPrefix))
            errorResponse_ = parseErrorResponse(event);
        else
            ++tokens;
    }
    buffer_.erase(0, start);
    return tokens;
}

std::string makeCompletionBody(const std::string &model, std::int64_t seed, std::size_t index,
                               std::int64_t promptWords, std::int64_t maxTokens)
{
    std::string prompt = "run " + std::to_string(seed) + " request " + std::to_string(index);
    for (std::int64_t i = 0; i < promptWords; ++i)
        prompt += " word";
    return json::serialize(json::object {
        {"model", model}, {"prompt", prompt}, {"max_tokens", maxTokens}, {"stream", true}});
}

} // namespace boragerack::cli
