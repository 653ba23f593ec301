#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "ObjectReader.h"
#include "boragerack/config/NodeSettings.h"

namespace boragerack::config {

inline constexpr std::string_view kExpectedAddress =
    "an IP address and a port such as 127.0.0.1:0 or [::1]:0";

/// Readers for fields that several settings files have in common. Errors are reported with the path
/// of the field.
SocketAddress readAddressText(const std::string &text, const std::string &path,
                              ParseErrorCollector &errors);
SocketAddress readAddress(ObjectReader &reader, std::string_view name, ParseErrorCollector &errors);

/// Direction in which a fraction of a millisecond is rounded.
enum class Rounding {
    Down, ///< For the longest time that is allowed.
    Up, ///< For the shortest time that is required.
};

/// Reads a time in milliseconds, at least 1 and with a fraction or without; fractions of a
/// millisecond are dropped.
std::chrono::milliseconds readMs(ObjectReader &reader, std::string_view name,
                                 std::chrono::milliseconds fallback);
/// Reads a time from the member `<name>Ms`, in milliseconds, or `<name>S`, in seconds. Both may be
/// fractions; only one of them may be there.
std::chrono::milliseconds readDuration(ObjectReader &reader, const std::string &name,
                                       std::chrono::milliseconds lowest,
                                       std::chrono::milliseconds fallback, Rounding rounding,
                                       ParseErrorCollector &errors);
/// Reads a limit on a count; the fraction of a number is dropped.
std::int64_t readLimit(ObjectReader &reader, std::string_view name, std::int64_t lowest,
                       std::int64_t highest, std::int64_t fallback);

} // namespace boragerack::config
