#include "ModelRequest.h"

#include "JsonMembers.h"

namespace boragerack::node {

namespace json = boost::json;

namespace {

constexpr std::int64_t kDefaultMaxTokens = 16;
constexpr std::int64_t kMaxMaxTokens = 1'000'000;
/// Estimated characters per token; engines report the exact count afterwards.
constexpr std::int64_t kCharactersPerToken = 4;

core::Error invalid(std::string message)
{
    return core::makeNotRunError(core::ErrorCode::InvalidRequest, std::move(message));
}

std::int64_t estimateTokens(const json::object &body)
{
    std::size_t characters = 0;
    for (const std::string_view name : {"prompt", "messages"}) {
        if (const json::value *member = body.if_contains(name))
            characters +=
                member->is_string() ? member->get_string().size() : json::serialize(*member).size();
    }
    return static_cast<std::int64_t>(characters) / kCharactersPerToken + 1;
}

/// Messages before the last one, which other requests of a conversation or application share.
std::vector<std::string> findSharedParts(const json::object &body)
{
    std::vector<std::string> parts;
    const json::value *messages = body.if_contains("messages");
    if (!messages || !messages->is_array())
        return parts;
    const json::array &list = messages->get_array();
    for (std::size_t i = 0; i + 1 < list.size(); ++i)
        parts.push_back(json::serialize(list[i]));
    return parts;
}

core::Result<std::int64_t> readMaxTokens(const json::object &body)
{
    for (const std::string_view name : {"max_tokens", "max_completion_tokens"}) {
        const json::value *member = body.if_contains(name);
        if (!member || member->is_null())
            continue;
        boost::system::error_code error;
        const auto tokens = member->is_number() ? member->to_number<std::int64_t>(error) : 0;
        if (error || tokens < 1 || tokens > kMaxMaxTokens)
            return invalid(std::string(name) + " must be a whole number from 1 to 1000000");
        return tokens;
    }
    return kDefaultMaxTokens;
}

} // namespace

core::Result<ModelRequest> parseModelRequest(std::string_view text)
{
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object())
        return invalid("body must be a JSON object");
    const json::object &body = value.get_object();
    const std::string name = stringMember(value, "model");
    if (name.empty())
        return invalid("model must be a text that is not empty");
    if (!body.contains("prompt") && !body.contains("messages"))
        return invalid("prompt or messages is missing");
    if (const json::value *stream = body.if_contains("stream"); stream && !stream->is_bool())
        return invalid("stream must be true or false");
    const auto maxTokens = readMaxTokens(body);
    if (!core::isOk(maxTokens))
        return core::errorOf(maxTokens);

    ModelRequest request;
    const auto colon = name.find(':');
    const std::string base = name.substr(0, colon);
    if (colon != std::string::npos)
        request.adapter = name.substr(colon + 1);
    const auto at = base.find('@');
    request.model = base.substr(0, at);
    if (at != std::string::npos)
        request.version = base.substr(at + 1);
    request.isStream = boolMember(value, "stream");
    request.promptTokens = estimateTokens(body);
    request.maxTokens = core::valueOf(maxTokens);
    request.sharedParts = findSharedParts(body);
    return request;
}

std::optional<std::int64_t> parseCompletionTokens(std::string_view answer)
{
    boost::system::error_code error;
    const json::value value = json::parse(answer, error);
    const json::object *body = error ? nullptr : value.if_object();
    const json::value *usage = body ? body->if_contains("usage") : nullptr;
    if (!usage || !usage->is_object() || !usage->get_object().contains("completion_tokens"))
        return std::nullopt;
    return static_cast<std::int64_t>(uint64Member(*usage, "completion_tokens"));
}

std::string makeEngineBody(std::string_view text, const decisions::Artifact &artifact)
{
    json::value value = json::parse(text);
    value.as_object()["model"] = artifact.isAdapter()
        ? artifact.model.value + ":" + artifact.adapter.value
        : artifact.model.value;
    return json::serialize(value);
}

} // namespace boragerack::node
