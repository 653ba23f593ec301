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

/// A part of the operators' lists as read from the platform. A deleted part has no text.
struct ListPart
{
    std::string name;
    std::uint64_t version = 0;
    std::optional<std::string> text;

    friend auto operator<=>(const ListPart &, const ListPart &) = default;
};

/// The operators' lists as last read by one relay, and the edits that failed validation. Makes the
/// candidate to accept next: all edits except the rejected ones, whose parts keep their accepted
/// text.
class WatchedLists
{
public:
    /// Applies a complete read or a change. Returns whether any part changed.
    bool update(bool isComplete, std::uint64_t revision, const std::vector<ListPart> &parts);

    std::uint64_t revision() const { return revision_; }

    /// Returns the texts to accept next, given the accepted texts; both are keyed by part name.
    std::map<std::string, std::string>
    makeCandidate(const std::map<std::string, std::string> &accepted) const;

    /// Rejects the edit of `part` if its text differs from the accepted one, otherwise the newest
    /// edit. Returns false if there is no edit to reject.
    bool refuse(const std::string &part, const std::string &reason,
                const std::map<std::string, std::string> &accepted);

    /// Returns the edits that are currently rejected.
    std::vector<RejectedPart> rejected() const;

private:
    std::uint64_t versionOf(const std::string &name) const;

    std::uint64_t revision_ = 0;
    std::map<std::string, ListPart> parts_;
    std::map<std::string, RejectedPart> rejected_;
};

} // namespace boragerack::decisions
