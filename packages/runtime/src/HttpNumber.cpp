#include "boragerack/runtime/HttpNumber.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace boragerack::runtime {

namespace {

constexpr double kMaxSeconds = 600;

} // namespace

std::optional<double> parseDecimal(std::string_view text)
{
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(number)
        || number < 0)
        return std::nullopt;
    return number;
}

std::chrono::milliseconds parseSeconds(std::string_view text)
{
    const std::chrono::duration<double> seconds(
        std::min(parseDecimal(text).value_or(0), kMaxSeconds));
    return std::chrono::ceil<std::chrono::milliseconds>(seconds);
}

} // namespace boragerack::runtime
