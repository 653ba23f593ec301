#pragma once

#include <string>
#include <string_view>

namespace boragerack::config {

/// Describes the first error of a text that is not valid JSON, such as
/// "line 3, column 7: syntax error". Lines and columns count from 1; a column is a byte.
std::string describeJsonError(std::string_view text);

} // namespace boragerack::config
