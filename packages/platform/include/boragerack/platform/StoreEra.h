#pragma once

#include <cstdint>
#include <string_view>

namespace boragerack::runtime {
struct HttpResponse;
} // namespace boragerack::runtime

namespace boragerack::platform {

/// Era of the store when it sent the response, from this header; see core::StoreVersion. Zero if
/// the header is missing or malformed.
std::uint64_t parseEra(const runtime::HttpResponse &response, std::string_view header);

} // namespace boragerack::platform
