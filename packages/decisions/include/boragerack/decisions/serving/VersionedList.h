#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "boragerack/decisions/serving/ListChange.h"

namespace boragerack::decisions {

/// A list whose changes can be sent to nodes that know an earlier version. A receiver that applies
/// changes can itself answer other nodes, with the version numbers of the first sender.
template<typename Key, typename Value, Key Value::*KeyMember>
class VersionedList
{
public:
    using Change = ListChange<Key, Value>;

    std::uint64_t version() const { return version_; }
    std::size_t size() const { return entries_.size(); }

    std::vector<Value> values() const
    {
        std::vector<Value> values;
        values.reserve(entries_.size());
        for (const auto &[key, entry] : entries_)
            values.push_back(entry.value);
        return values;
    }

    std::vector<Key> keys() const
    {
        std::vector<Key> keys;
        keys.reserve(entries_.size());
        for (const auto &[key, entry] : entries_)
            keys.push_back(key);
        return keys;
    }

    /// Replaces the list. The version increases if the list differs or had no version.
    void replace(const std::vector<Value> &values)
    {
        std::map<Key, Value> next;
        for (const Value &value : values)
            next.emplace(value.*KeyMember, value);
        const std::uint64_t nextVersion = version_ + 1;
        bool isChanged = version_ == 0;
        for (auto position = entries_.begin(); position != entries_.end();) {
            if (next.contains(position->first)) {
                ++position;
                continue;
            }
            removed_[position->first] = nextVersion;
            position = entries_.erase(position);
            isChanged = true;
        }
        for (auto &[key, value] : next)
            isChanged = set(key, value, nextVersion) || isChanged;
        if (isChanged)
            version_ = nextVersion;
        forgetOldRemovals();
    }

    /// Whether this list has all changes before the given one.
    bool fits(const Change &change) const { return change.isComplete || change.since <= version_; }

    /// Applies a change, or a complete list. False if the change is older than this list, or
    /// relative to a version that this list has not reached.
    bool apply(const Change &change)
    {
        if (change.version < version_ || !fits(change))
            return false;
        if (change.isComplete) {
            entries_.clear();
            removed_.clear();
            oldestDifference_ = change.version;
        }
        // An entry that is unchanged here may have had another value in between, which a receiver
        // of this list still has.
        for (const Value &value : change.changed) {
            removed_.erase(value.*KeyMember);
            entries_.insert_or_assign(value.*KeyMember, Entry {value, change.version});
        }
        for (const Key &key : change.removed) {
            entries_.erase(key);
            removed_[key] = change.version;
        }
        version_ = change.version;
        forgetOldRemovals();
        return true;
    }

    /// Changes after `known`; the complete list if the removals since then are not known.
    Change since(std::uint64_t known) const
    {
        Change change;
        change.version = version_;
        change.isComplete = known == 0 || known < oldestDifference_;
        change.since = change.isComplete ? 0 : known;
        for (const auto &[key, entry] : entries_) {
            if (change.isComplete || entry.changedAt > known)
                change.changed.push_back(entry.value);
        }
        for (const auto &[key, removedAt] : removed_) {
            if (!change.isComplete && removedAt > known)
                change.removed.push_back(key);
        }
        return change;
    }

    friend auto operator<=>(const VersionedList &, const VersionedList &) = default;

private:
    /// Removals that are kept for differences. Receivers that are further behind get the complete
    /// list.
    static constexpr std::size_t kMaxRemovals = 1024;

    struct Entry
    {
        Value value;
        std::uint64_t changedAt = 0;
        friend auto operator<=>(const Entry &, const Entry &) = default;
    };

    bool set(const Key &key, const Value &value, std::uint64_t version)
    {
        removed_.erase(key);
        const auto [position, isNew] = entries_.try_emplace(key, Entry {value, version});
        if (isNew)
            return true;
        if (position->second.value == value)
            return false;
        position->second = {value, version};
        return true;
    }

    void forgetOldRemovals()
    {
        if (removed_.size() <= kMaxRemovals)
            return;
        removed_.clear();
        oldestDifference_ = version_;
    }

    std::map<Key, Entry> entries_;
    std::map<Key, std::uint64_t> removed_;
    std::uint64_t version_ = 0;
    /// Differences from versions before this one are not known.
    std::uint64_t oldestDifference_ = 0;
};

} // namespace boragerack::decisions
