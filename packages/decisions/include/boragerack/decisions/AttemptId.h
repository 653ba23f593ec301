#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragerack::decisions {

/// One attempt of one request on one target. The request is unique in the fleet and over restarts
/// of its node; numbers grow from one.
struct AttemptId
{
    std::string request;
    std::uint32_t number = 0;

    friend auto operator<=>(const AttemptId &, const AttemptId &) = default;
};

/// The form of the header `X-Attempt`: request, a full stop, number.
std::string formatAttemptId(const AttemptId &attempt);

/// Reads that form; nothing if the text is anything else.
std::optional<AttemptId> parseAttemptId(std::string_view text);

} // namespace boragerack::decisions
