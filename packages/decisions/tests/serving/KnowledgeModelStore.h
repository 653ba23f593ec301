#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/serving/TargetEntry.h"

namespace boragerack::decisions::testing {

/// Time passes only with a change of the store; nothing else depends on it.
inline constexpr core::TimePoint kModelStart {std::chrono::seconds(1)};
inline constexpr core::Duration kModelTick = std::chrono::seconds(1);
/// A target that leaves and may return, and one that joins.
extern const core::TargetId kLeavingTarget;
extern const core::TargetId kJoiningTarget;

/// Since when a target is listed, or not.
struct Presence
{
    core::TimePoint since = {};
    bool isListed = false;
    friend auto operator<=>(const Presence &, const Presence &) = default;
};

/// The list of targets at the store, with its history.
struct KnowledgeModelStore
{
    core::TimePoint now = kModelStart;
    std::map<core::TargetId, std::vector<Presence>> history {
        {kLeavingTarget, {{{}, false}, {kModelStart, true}}}, {kJoiningTarget, {{{}, false}}}};
    std::map<core::TargetId, std::uint64_t> heartbeats {{kLeavingTarget, 1}};

    bool has(const core::TargetId &target) const { return history.at(target).back().isListed; }
    void change(const core::TargetId &target);
    TargetEntry entryOf(const core::TargetId &target) const;
    std::vector<TargetEntry> entries() const;
    /// Whether the target was listed, or not, at some time since then.
    bool wasEver(const core::TargetId &target, bool isListed, core::TimePoint since) const;

    friend auto operator<=>(const KnowledgeModelStore &, const KnowledgeModelStore &) = default;
};

} // namespace boragerack::decisions::testing
