#pragma once

#include <cstdint>

namespace boragerack::decisions {

/// The work that a request causes on a model engine, as stated by its caller.
struct RequestWork
{
    std::uint32_t promptTokens = 0;
    /// Maximum number of tokens in the response.
    std::uint32_t outputTokens = 0;

    friend auto operator<=>(const RequestWork &, const RequestWork &) = default;
};

} // namespace boragerack::decisions
