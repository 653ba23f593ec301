#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace boragerack::runtime {

/// Parses a decimal number in a header; empty if it is negative, not finite or malformed.
std::optional<double> parseDecimal(std::string_view text);

/// Parses a number of seconds, which may have a fraction, as in Retry-After. Zero if it is
/// malformed; at most 10 min, so that a faulty value has no effect for good.
std::chrono::milliseconds parseSeconds(std::string_view text);

} // namespace boragerack::runtime
