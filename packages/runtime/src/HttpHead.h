#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "boragerack/runtime/HttpMessage.h"

namespace boragerack::runtime {

/// The head of an HTTP/1.1 message, ready to be written. Headers that describe the framing or the
/// connection are replaced by those that apply here. Unlike the containers of Boost.Beast, which
/// throw std::length_error for a header of 64 KiB or more, these functions set no limit.

/// `address` is the Host header if the request has none.
std::string formatRequestHead(const HttpRequest &request, std::string_view address);

/// Without `bodySize`, the body follows in chunks.
std::string formatResponseHead(unsigned status, const std::vector<HttpHeader> &headers,
                               std::optional<std::size_t> bodySize, bool isKeptAlive);

} // namespace boragerack::runtime
