#pragma once

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "boragerack/config/ListCheck.h"
#include "boragerack/decisions/Catalogue.h"
#include "boragerack/decisions/review/ConfigurationFinding.h"
#include "boragerack/decisions/review/ReviewContext.h"

namespace boragerack::config {

/// A finding whose place is described in the names of the input.
struct PlacedFinding
{
    decisions::FindingCode code = decisions::FindingCode::MissingName;
    std::string place;
    std::string sentence;

    friend auto operator<=>(const PlacedFinding &, const PlacedFinding &) = default;
};

/// The contents of the lists and all that was found in them.
struct ListReview
{
    decisions::CatalogueContents contents;
    std::vector<PlacedFinding> findings;

    friend auto operator<=>(const ListReview &, const ListReview &) = default;
};

/// Parses the parts and runs the cross checks of `checkLists` and the checks of
/// `decisions::checkCatalogue`. Returns the error of the first part that cannot be read. If no part
/// of the entitlements list is given, references to plans are not checked.
std::variant<ListReview, ListError>
reviewLists(const std::map<std::string, std::string> &textByPart,
            const decisions::ReviewContext &context);

} // namespace boragerack::config
