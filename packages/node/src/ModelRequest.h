#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "boragerack/core/Result.h"
#include "boragerack/decisions/Artifact.h"

namespace boragerack::node {

/// What a node reads of a completion request; the engine gets the body as it came.
struct ModelRequest
{
    std::string model;
    std::string version;
    std::string adapter;
    bool isStream = false;
    std::int64_t promptTokens = 0;
    std::int64_t maxTokens = 0;

    friend auto operator<=>(const ModelRequest &, const ModelRequest &) = default;
};

/// Reads the body of a completion or chat completion. The model is named
/// "<model>[@<version>][:<adapter>]".
core::Result<ModelRequest> parseModelRequest(std::string_view body);

/// The body with the model named as the engine knows it, "<model>[:<adapter>]".
std::string makeEngineBody(std::string_view body, const decisions::Artifact &artifact);

/// Output tokens that a whole answer reports under "usage".
std::optional<std::int64_t> parseCompletionTokens(std::string_view answer);

} // namespace boragerack::node
