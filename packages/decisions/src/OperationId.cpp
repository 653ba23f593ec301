#include "boragerack/decisions/OperationId.h"

#include <charconv>

namespace boragerack::decisions {

namespace {

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace

std::string formatOperationId(const OperationId &id)
{
    return id.instance.value + '/' + std::to_string(id.incarnation) + '/'
        + std::to_string(id.sequence);
}

std::optional<OperationId> parseOperationId(std::string_view text)
{
    const std::size_t second = text.rfind('/');
    if (second == std::string_view::npos || second == 0)
        return std::nullopt;
    const std::size_t first = text.rfind('/', second - 1);
    if (first == std::string_view::npos)
        return std::nullopt;
    const auto incarnation = parseNumber(text.substr(first + 1, second - first - 1));
    const auto sequence = parseNumber(text.substr(second + 1));
    if (!incarnation || !sequence)
        return std::nullopt;
    return OperationId {core::InstanceId {std::string(text.substr(0, first))}, *incarnation,
                        *sequence};
}

} // namespace boragerack::decisions
