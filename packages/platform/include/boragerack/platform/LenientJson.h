#pragma once

#include <string_view>

#include <boost/json/value.hpp>

namespace boragerack::platform {

/// Parses JSON of which other writers may have written parts that cannot be read: nested too
/// deeply, with numbers out of range, or with invalid characters. Such a part becomes null, and the
/// rest stays readable. Parts are the values `levels` below the root: its members or elements at 1,
/// their own members or elements at 2. Null if the text is incomplete. Invalid UTF-8 is accepted
/// unchanged.
boost::json::value parseLenient(std::string_view text, int levels);

} // namespace boragerack::platform
