#include "boragerack/decisions/AttemptId.h"

#include <charconv>

namespace boragerack::decisions {

std::string formatAttemptId(const AttemptId &attempt)
{
    return attempt.request + "." + std::to_string(attempt.number);
}

std::optional<AttemptId> parseAttemptId(std::string_view text)
{
    const auto separator = text.rfind('.');
    if (separator == std::string_view::npos || separator == 0)
        return std::nullopt;
    const std::string_view digits = text.substr(separator + 1);
    AttemptId attempt {std::string(text.substr(0, separator)), 0};
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), attempt.number);
    if (error != std::errc() || end != digits.data() + digits.size() || attempt.number == 0)
        return std::nullopt;
    return attempt;
}

} // namespace boragerack::decisions
