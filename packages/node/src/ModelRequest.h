#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "boragerack/core/Result.h"
#include "boragerack/decisions/Artifact.h"

namespace boragerack::node {

/// The members of a completion request that a node evaluates. The engine receives the same body
/// with only the model name replaced.
struct ModelRequest
{
    std::string model;
    std::string version;
    std::string adapter;
    bool isStream = false;
    std::int64_t promptTokens = 0;
    std::int64_t maxTokens = 0;
    /// Parts of the prompt that other requests may share.
    std::vector<std::string> sharedParts;

    friend auto operator<=>(const ModelRequest &, const ModelRequest &) = default;
};

/// Parses the body of a completion or chat completion. The model has the form
/// "<model>[@<version>][:<adapter>]".
core::Result<ModelRequest> parseModelRequest(std::string_view body);

/// Returns the body with the model name in the form of the engine, "<model>[:<adapter>]".
std::string makeEngineBody(std::string_view body, const decisions::Artifact &artifact);

/// Output tokens that a complete response reports under "usage".
std::optional<std::int64_t> parseCompletionTokens(std::string_view answer);

} // namespace boragerack::node
