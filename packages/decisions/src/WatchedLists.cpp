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
        // A part that is gone from a complete reading was deleted at some revision up to this one.
        for (const auto &[name, part] : parts_) {
            if (!next.contains(name))
                next[name] = {name, part.text ? revision : part.version, std::nullopt};
        }
    }
    revision_ = std::max(revision_, revision);
    if (next == parts_)
        return false;
    parts_ = std::move(next);
    // An edit may make an earlier refused one valid, so all are checked again.
    refused_.clear();
    return true;
}

std::map<std::string, std::string>
WatchedLists::makeCandidate(const std::map<std::string, std::string> &accepted) const
{
    std::map<std::string, std::string> candidate;
    for (const auto &[name, part] : parts_) {
        if (part.text && !refused_.contains(name))
            candidate.emplace(name, *part.text);
    }
    for (const auto &[name, refusal] : refused_) {
        if (const auto held = accepted.find(name); held != accepted.end())
            candidate.emplace(name, held->second);
    }
    return candidate;
}

bool WatchedLists::refuse(const std::string &part, const std::string &reason,
                          const std::map<std::string, std::string> &accepted)
{
    const auto candidate = makeCandidate(accepted);
    const auto isEdit = [&](const std::string &name) {
        const auto now = candidate.find(name);
        const auto before = accepted.find(name);
        if (now == candidate.end() || before == accepted.end())
            return (now == candidate.end()) != (before == accepted.end());
        return now->second != before->second;
    };
    std::optional<std::string> chosen;
    if (isEdit(part)) {
        chosen = part;
    } else {
        const auto consider = [&](const std::string &name) {
            if (isEdit(name) && (!chosen || versionOf(name) > versionOf(*chosen)))
                chosen = name;
        };
        for (const auto &[name, text] : candidate)
            consider(name);
        for (const auto &[name, text] : accepted)
            consider(name);
    }
    if (!chosen)
        return false;
    refused_[*chosen] = {*chosen, versionOf(*chosen), reason};
    return true;
}

std::vector<RejectedPart> WatchedLists::rejected() const
{
    std::vector<RejectedPart> all;
    for (const auto &[name, refusal] : refused_)
        all.push_back(refusal);
    return all;
}

std::uint64_t WatchedLists::versionOf(const std::string &name) const
{
    const auto part = parts_.find(name);
    return part == parts_.end() ? 0 : part->second.version;
}

} // namespace boragerack::decisions
