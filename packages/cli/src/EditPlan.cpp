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

/// Orders edits so that the lists stay valid after each one. Each check validates all lists, so the
/// number of checks is bounded; the remaining edits keep their order.
class EditOrder
{
public:
    explicit EditOrder(TextByPart texts)
        : texts_(std::move(texts))
    {
    }

    std::vector<PartEdit> arrange(std::vector<PartEdit> pending)
    {
        std::vector<PartEdit> ordered;
        while (!pending.empty()) {
            const auto next = pending.begin() + static_cast<std::ptrdiff_t>(findNext(pending));
            texts_[next->part] = next->text;
            ordered.push_back(std::move(*next));
            pending.erase(next);
        }
        return ordered;
    }

private:
    /// Returns the index of an edit after which the lists are valid, or 0 if none is found.
    std::size_t findNext(const std::vector<PartEdit> &pending)
    {
        for (std::size_t i = 0; pending.size() > 1 && i < pending.size() && checks_ < kMaxChecks;
             ++i) {
            ++checks_;
            TextByPart changed = texts_;
            changed[pending[i].part] = pending[i].text;
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
planEdits(const StoredParts &stored, const std::map<std::string, std::string> &wanted)
{
    TextByPart current;
    for (const auto &[part, object] : stored)
        current[part] = object.text;
    TextByPart result = current;
    std::vector<PartEdit> pending;
    for (const auto &[part, text] : wanted) {
        result[part] = text;
        const auto base = stored.find(part);
        if (base == stored.end())
            pending.push_back({part, text, std::nullopt});
        else if (!isSameJson(base->second.text, text))
            pending.push_back({part, text, base->second});
    }
    const auto checked = config::checkLists(result);
    if (const auto *error = std::get_if<config::ListError>(&checked))
        return *error;

    return EditOrder(std::move(current)).arrange(std::move(pending));
}

} // namespace boragerack::cli
