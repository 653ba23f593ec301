#include "boragerack/config/JsonPosition.h"

#include <algorithm>

#include <boost/json/parser.hpp>

namespace boragerack::config {

std::string describeJsonError(std::string_view text)
{
    boost::json::parser parser;
    boost::json::error_code error;
    std::size_t offset = parser.write_some(text.data(), text.size(), error);
    // A second value after the document stops the parser without an error.
    if (!error && offset < text.size())
        error = boost::json::error::extra_data;
    if (!error)
        error = boost::json::error::incomplete;
    offset = std::min(offset, text.size());
    const std::string_view before = text.substr(0, offset);
    const auto line = std::ranges::count(before, '\n') + 1;
    const std::size_t lineStart = before.rfind('\n') + 1;
    return "line " + std::to_string(line) + ", column " + std::to_string(offset - lineStart + 1)
        + ": " + error.message();
}

} // namespace boragerack::config
