#include "EditPlan.h"

#include <cstddef>
#include <utility>

#include "JsonDifference.h"

namespace boragerack::cli {

namespace {

using TextByPart = std::map<std::string, std::string>;

constexpr std::size_t kMaxChecks = 64;

bool isValid(const TextByPart &texts)
{
    return std::holds_alternative<decisions::Catalogue>(config::checkLists(texts));
}

/// Orders edits so that the lists stay valid after each one. Each try checks all lists, so their
/// number is bounded; the edits that are left keep their order.
class EditOrder
{
public:
    explicit EditOrder(TextByPart texts)
        : texts_(std::move(texts))
    {
    }

    std::vector<PartEdit> arrange(std::vector<PartEdit> open)
    {
        std::vector<PartEdit> ordered;
        while (!open.empty()) {
            const auto next = open.begin() + static_cast<std::ptrdiff_t>(findNext(open));
            texts_[next->part] = next->text;
            ordered.push_back(std::move(*next));
            open.erase(next);
        }
        return ordered;
    }

private:
    /// Position of an edit after which the lists are valid; the first one if none is found.
    std::size_t findNext(const std::vector<PartEdit> &open)
    {
        for (std::size_t i = 0; open.size() > 1 && i < open.size() && checks_ < kMaxChecks; ++i) {
            ++checks_;
            TextByPart changed = texts_;
            changed[open[i].part] = open[i].text;
            if (isValid(changed))
                return i;
        }
        return 0;
    }

    TextByPart texts_;
    std::size_t checks_ = 0;
};

} // namespace

std::variant<std::vector<PartEdit>, config::ListError>
planEdits(const StoredParts &held, const std::map<std::string, std::string> &wanted)
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
    if (const auto *fault = std::get_if<config::ListError>(&checked))
        return *fault;

    return EditOrder(std::move(current)).arrange(std::move(open));
}

} // namespace boragerack::cli
