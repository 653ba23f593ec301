#pragma once

#include <boost/json/value.hpp>

#include "boragerack/runtime/HttpMessage.h"

namespace boragerack::standins {

runtime::HttpResponse makeJsonResponse(unsigned status, const boost::json::value &body);

/// Parsed request body; null if it is not valid JSON.
boost::json::value parseJsonBody(const runtime::HttpRequest &request);

/// Member of an object, or the fallback if it is absent or has another type.
std::int64_t integerOr(const boost::json::value &object, std::string_view name,
                       std::int64_t fallback);
bool flagOr(const boost::json::value &object, std::string_view name, bool fallback);
std::string textOr(const boost::json::value &object, std::string_view name,
                   std::string_view fallback);

} // namespace boragerack::standins
