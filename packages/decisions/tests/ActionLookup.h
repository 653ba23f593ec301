#pragma once

#include <optional>
#include <variant>
#include <vector>

namespace boragerack::decisions::testing {

/// Returns the first action of type `T`, as a copy, so that `actions` may be a temporary.
template<class T, class... Types>
std::optional<T> findAction(const std::vector<std::variant<Types...>> &actions)
{
    for (const auto &action : actions) {
        if (const T *found = std::get_if<T>(&action))
            return *found;
    }
    return std::nullopt;
}

template<class T, class... Types>
bool hasAction(const std::vector<std::variant<Types...>> &actions)
{
    return findAction<T>(actions).has_value();
}

} // namespace boragerack::decisions::testing
