#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "boragerack/config/ListCheck.h"
#include "boragerack/decisions/Catalogue.h"

namespace boragerack::config {

/// Part and index in its array from which an entry of the contents was read.
struct EntryOrigin
{
    std::string part;
    std::size_t index = 0;

    friend auto operator<=>(const EntryOrigin &, const EntryOrigin &) = default;
};

/// The contents of all parts with their origins, and every error.
struct ListExamination
{
    decisions::CatalogueContents contents;
    std::vector<EntryOrigin> organisations;
    std::vector<EntryOrigin> plans;
    std::vector<EntryOrigin> services;
    std::vector<ListError> errors;

    friend auto operator<=>(const ListExamination &, const ListExamination &) = default;
};

enum class PlanReferences {
    Checked,
    Unchecked, ///< The entitlements list is not given.
};

/// Parses all parts and checks that they are consistent with each other.
ListExamination examineLists(const std::map<std::string, std::string> &textByPart,
                             PlanReferences planReferences);

} // namespace boragerack::config
