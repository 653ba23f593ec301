#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace boragerack::cli {

/// Whether both texts are the same JSON value. The platform may store a value in another layout
/// or order of members than it was sent.
bool isSameJson(std::string_view left, std::string_view right);

/// One line for each place where the values differ, such as `plans[0].weight: 4 -> 8`; at most
/// `limit` lines and one that says how many more there are.
std::vector<std::string> describeDifferences(std::string_view before, std::string_view after,
                                             std::size_t limit);

} // namespace boragerack::cli
