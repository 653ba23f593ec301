#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>

#include "boragerack/decisions/Catalogue.h"
#include "boragerack/decisions/review/ConfigurationFinding.h"

namespace boragerack::config {

/// The invalid part of a list and the error message for the operator.
struct ListError
{
    std::string part;
    std::string message;
    /// Rule that the part breaks; empty if the part cannot be read.
    std::optional<decisions::FindingCode> code;
    /// Path in the part and a sentence about the fault, if there is a code.
    std::string path;
    std::string fault;

    friend auto operator<=>(const ListError &, const ListError &) = default;
};

/// Parses all parts and checks that they are consistent with each other. A part is identified by
/// its key without "lists/": "plans/<part>" or "entitlements/<part>".
std::variant<decisions::Catalogue, ListError>
checkLists(const std::map<std::string, std::string> &textByPart);

} // namespace boragerack::config
