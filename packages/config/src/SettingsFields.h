#pragma once

#include <chrono>
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
std::chrono::milliseconds readMs(ObjectReader &reader, std::string_view name,
                                 std::chrono::milliseconds fallback);

} // namespace boragerack::config
