#include "boragerack/config/ListReview.h"

#include <algorithm>
#include <utility>

#include "ListExamination.h"
#include "boragerack/decisions/review/CatalogueCheck.h"

namespace boragerack::config {

namespace {

using decisions::PlaceEntry;
using decisions::PlaceField;

std::string describeElement(std::string_view array, std::size_t index)
{
    return std::string(array) + "[" + std::to_string(index) + "]";
}

std::string describeOrigin(std::string_view array, const EntryOrigin &origin)
{
    return "lists/" + origin.part + ": " + describeElement(array, origin.index);
}

std::string describePlace(const ListExamination &lists, const decisions::ConfigurationPlace &place)
{
    std::string text;
    if (place.entry == PlaceEntry::Plan)
        text = describeOrigin("plans", lists.plans.at(place.index));
    else if (place.entry == PlaceEntry::Service)
        text = describeOrigin("services", lists.services.at(place.index));
    else
        text = describeOrigin("organisations", lists.organisations.at(place.index));
    if (place.field == PlaceField::Burst)
        text += ".burstTokens";
    else if (place.field == PlaceField::Models)
        text += describeElement(".models", place.element.value_or(0));
    return text;
}

} // namespace

std::variant<ListReview, ListError>
reviewLists(const std::map<std::string, std::string> &textByPart,
            const decisions::ReviewContext &context)
{
    const bool hasEntitlements = std::ranges::any_of(
        textByPart, [](const auto &part) { return part.first.starts_with("entitlements/"); });
    ListExamination lists = examineLists(
        textByPart, hasEntitlements ? PlanReferences::Checked : PlanReferences::Unchecked);
    ListReview review;
    for (const ListError &error : lists.errors) {
        if (!error.code)
            return error;
        review.findings.push_back(
            {*error.code, "lists/" + error.part + ": " + error.path, error.fault});
    }
    for (const decisions::ConfigurationFinding &finding :
         decisions::checkCatalogue(lists.contents, context))
        review.findings.push_back(
            {finding.code, describePlace(lists, finding.place), finding.sentence});
    review.contents = std::move(lists.contents);
    return review;
}

} // namespace boragerack::config
