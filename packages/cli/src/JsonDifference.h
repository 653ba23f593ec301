#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace boragerack::cli {

/// Whether both texts represent the same JSON value. The platform may change the whitespace or the
/// order of members of a stored value.
bool isSameJson(std::string_view left, std::string_view right);

/// Returns one line for each differing path, such as `plans[0].weight: 4 -> 8`; at most `limit`
/// lines, followed by the number of omitted differences.
std::vector<std::string> describeDifferences(std::string_view before, std::string_view after,
                                             std::size_t limit);

} // namespace boragerack::cli
