#include "boragerack/decisions/WatchedLists.h"

#include <algorithm>
#include <utility>

namespace boragerack::decisions {

bool WatchedLists::update(bool isComplete, std::uint64_t revision,
                          const std::vector<ListPart> &parts)
{
    if (isComplete && revision < revision_)
        return false;
    std::map<std::string, ListPart> next = isComplete ? std::map<std::string, ListPart>() : parts_;
    for (const ListPart &part : parts) {
        ListPart &entry = next[part.name];
        if (part.version >= entry.version)
            entry = part;
    }
    if (isComplete) {
        // A part that is missing from a complete read was deleted at this revision or earlier.
        for (const auto &[name, part] : parts_) {
            if (!next.contains(name))
                next[name] = {name, part.text ? revision : part.version, std::nullopt};
        }
    }
    revision_ = std::max(revision_, revision);
    if (next == parts_)
        return false;
    parts_ = std::move(next);
    // The new edit may make a rejected one valid, so all edits are validated again.
    rejected_.clear();
    return true;
}

std::map<std::string, std::string>
WatchedLists::makeCandidate(const std::map<std::string, std::string> &accepted) const
{
    std::map<std::string, std::string> candidate;
    for (const auto &[name, part] : parts_) {
        if (part.text && !rejected_.contains(name))
            candidate.emplace(name, *part.text);
    }
    for (const auto &[name, rejection] : rejected_) {
        if (const auto acceptedPart = accepted.find(name); acceptedPart != accepted.end())
            candidate.emplace(name, acceptedPart->second);
    }
    return candidate;
}

bool WatchedLists::refuse(const std::string &part, const std::string &reason,
                          const std::map<std::string, std::string> &accepted)
{
    const auto candidate = makeCandidate(accepted);
    const auto isEdit = [&](const std::string &name) {
        const auto candidateText = candidate.find(name);
        const auto acceptedText = accepted.find(name);
        if (candidateText == candidate.end() || acceptedText == accepted.end())
            return (candidateText == candidate.end()) != (acceptedText == accepted.end());
        return candidateText->second != acceptedText->second;
    };
    std::optional<std::string> rejectedName;
    if (isEdit(part)) {
        rejectedName = part;
    } else {
        const auto considerEdit = [&](const std::string &name) {
            if (isEdit(name) && (!rejectedName || versionOf(name) > versionOf(*rejectedName)))
                rejectedName = name;
        };
        for (const auto &[name, text] : candidate)
            considerEdit(name);
        for (const auto &[name, text] : accepted)
            considerEdit(name);
    }
    if (!rejectedName)
        return false;
    rejected_[*rejectedName] = {*rejectedName, versionOf(*rejectedName), reason};
    return true;
}

std::vector<RejectedPart> WatchedLists::rejected() const
{
    std::vector<RejectedPart> all;
    for (const auto &[name, rejection] : rejected_)
        all.push_back(rejection);
    return all;
}

std::uint64_t WatchedLists::versionOf(const std::string &name) const
{
    const auto part = parts_.find(name);
    return part == parts_.end() ? 0 : part->second.version;
}

} // namespace boragerack::decisions
