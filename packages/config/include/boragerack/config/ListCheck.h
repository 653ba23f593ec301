#pragma once

#include <map>
#include <string>
#include <variant>

#include "boragerack/decisions/Catalogue.h"

namespace boragerack::config {

/// The invalid part of a list and the error message for the operator.
struct ListError
{
    std::string part;
    std::string message;

    friend auto operator<=>(const ListError &, const ListError &) = default;
};

/// Parses all parts and checks that they are consistent with each other. A part is identified by
/// its key without "lists/": "plans/<part>" or "entitlements/<part>".
std::variant<decisions::Catalogue, ListError>
checkLists(const std::map<std::string, std::string> &textByPart);

} // namespace boragerack::config
