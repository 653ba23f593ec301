#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragerack::decisions {

/// Identifies one attempt to run a request on a target. `request` is unique across the fleet and
/// across restarts of its node; `number` starts at 1.
struct AttemptId
{
    std::string request;
    std::uint32_t number = 0;

    friend auto operator<=>(const AttemptId &, const AttemptId &) = default;
};

/// Formats the value of the `X-Attempt` header: request, a full stop, number.
std::string formatAttemptId(const AttemptId &attempt);

/// Parses a value of that format; returns nullopt if the text is malformed.
std::optional<AttemptId> parseAttemptId(std::string_view text);

} // namespace boragerack::decisions
