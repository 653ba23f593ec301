#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "boragerack/core/Digest.h"
#include "boragerack/decisions/review/ConfigurationDifference.h"

namespace boragerack::decisions {

/// Collects the differences between two sets of entries.
class DifferenceCollector
{
public:
    void add(std::string subject, DifferenceKind kind, std::string before, std::string after);

    /// Compares a bound; an empty one means no limit.
    void compareLimit(const std::string &subject, std::optional<std::int64_t> before,
                      std::optional<std::int64_t> after, std::string_view unit);
    void compareText(const std::string &subject, const std::string &before,
                     const std::string &after);
    void compareFlag(const std::string &subject, bool before, bool after);
    void compareKeys(const std::string &subject, const std::set<core::Digest> &before,
                     const std::set<core::Digest> &after);

    /// Calls `compare` with the subject and both entries of each identity whose entries differ, and
    /// reports identities that only one list has. Entries of one identity are compared in their
    /// order.
    template<class Entry, class Identify, class Compare>
    void compareEntries(const std::string &kind, const std::vector<Entry> &before,
                        const std::vector<Entry> &after, Identify identify, Compare compare)
    {
        const auto left = sortEntries(before, identify);
        const auto right = sortEntries(after, identify);
        auto old = left.begin();
        auto now = right.begin();
        while (old != left.end() || now != right.end()) {
            if (now == right.end() || (old != left.end() && old->isBefore(*now))) {
                add(kind + " " + old->label(), DifferenceKind::Dropped, "present", "");
                ++old;
            } else if (old == left.end() || now->isBefore(*old)) {
                add(kind + " " + now->label(), DifferenceKind::Added, "", "present");
                ++now;
            } else {
                if (!(*old->entry == *now->entry))
                    compare(kind + " " + old->label(), *old->entry, *now->entry);
                ++old;
                ++now;
            }
        }
    }

    std::vector<ConfigurationDifference> takeDifferences();

private:
    template<class Entry>
    struct IdentifiedEntry
    {
        std::string identity;
        /// Number among the entries of the identity.
        std::size_t ordinal = 0;
        const Entry *entry = nullptr;

        bool isBefore(const IdentifiedEntry &other) const
        {
            return std::tie(identity, ordinal) < std::tie(other.identity, other.ordinal);
        }
        std::string label() const
        {
            return ordinal == 0 ? identity : identity + " (" + std::to_string(ordinal + 1) + ")";
        }
    };

    template<class Entry, class Identify>
    static std::vector<IdentifiedEntry<Entry>> sortEntries(const std::vector<Entry> &entries,
                                                           Identify identify)
    {
        std::vector<IdentifiedEntry<Entry>> sorted;
        sorted.reserve(entries.size());
        for (const Entry &entry : entries)
            sorted.push_back({identify(entry), 0, &entry});
        std::ranges::stable_sort(sorted, {}, &IdentifiedEntry<Entry>::identity);
        for (std::size_t i = 1; i < sorted.size(); ++i) {
            if (sorted[i].identity == sorted[i - 1].identity)
                sorted[i].ordinal = sorted[i - 1].ordinal + 1;
        }
        return sorted;
    }

    std::vector<ConfigurationDifference> differences_;
};

} // namespace boragerack::decisions
