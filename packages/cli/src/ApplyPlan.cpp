#include "ApplyPlan.h"

#include <algorithm>

#include "JsonDifference.h"

namespace boragerack::cli {

namespace {

using TextByPart = std::map<std::string, std::string>;

bool isValid(const TextByPart &texts)
{
    return std::holds_alternative<decisions::Catalogue>(config::checkLists(texts));
}

/// Position of an edit after which the lists are valid; the first one if there is none.
std::size_t findNext(const TextByPart &texts, const std::vector<PartEdit> &edits)
{
    for (std::size_t i = 0; i < edits.size(); ++i) {
        TextByPart changed = texts;
        changed[edits[i].part] = edits[i].text;
        if (isValid(changed))
            return i;
    }
    return 0;
}

} // namespace

std::variant<std::vector<PartEdit>, config::ListFault>
planApply(const HeldParts &held, const std::map<std::string, std::string> &wanted)
{
    TextByPart current;
    for (const auto &[part, object] : held)
        current[part] = object.text;
    TextByPart result = current;
    std::vector<PartEdit> open;
    for (const auto &[part, text] : wanted) {
        result[part] = text;
        const auto base = held.find(part);
        if (base == held.end())
            open.push_back({part, text, std::nullopt});
        else if (!isSameJson(base->second.text, text))
            open.push_back({part, text, base->second});
    }
    const auto checked = config::checkLists(result);
    if (const auto *fault = std::get_if<config::ListFault>(&checked))
        return *fault;

    std::vector<PartEdit> ordered;
    while (!open.empty()) {
        const auto next = open.begin() + static_cast<std::ptrdiff_t>(findNext(current, open));
        current[next->part] = next->text;
        ordered.push_back(*next);
        open.erase(next);
    }
    return ordered;
}

} // namespace boragerack::cli
