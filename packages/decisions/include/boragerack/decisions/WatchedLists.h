#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "boragerack/decisions/ConfigurationDelta.h"
#include "boragerack/decisions/ConfigurationStatus.h"

namespace boragerack::decisions {

/// A part of the operators' lists as read from the platform; no text means that it was deleted.
struct ListPart
{
    std::string name;
    std::uint64_t version = 0;
    std::optional<std::string> text;

    friend auto operator<=>(const ListPart &, const ListPart &) = default;
};

/// The operators' lists as one relay sees them, and the edits that the checks refused. It composes
/// the lists that should be accepted next: every edit except the refused ones, whose parts keep
/// their accepted text.
class WatchedLists
{
public:
    /// Takes a complete reading or a change; returns whether anything differs from before.
    bool update(bool isComplete, std::uint64_t revision, const std::vector<ListPart> &parts);

    std::uint64_t revision() const { return revision_; }

    /// The lists to accept next, given what is accepted now.
    std::map<std::string, std::string>
    makeCandidate(const std::map<std::string, std::string> &accepted) const;

    /// Refuses the edit at fault: that of the named part if it differs from the accepted text,
    /// otherwise the newest edit. Returns false if no edit is left to refuse.
    bool refuse(const std::string &part, const std::string &reason,
                const std::map<std::string, std::string> &accepted);

    /// The edits that are refused at present.
    std::vector<RejectedPart> rejected() const;

private:
    std::uint64_t versionOf(const std::string &name) const;

    std::uint64_t revision_ = 0;
    std::map<std::string, ListPart> parts_;
    std::map<std::string, RejectedPart> refused_;
};

} // namespace boragerack::decisions
