#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "boragerack/decisions/serving/TargetEntry.h"

namespace boragerack::decisions {

namespace targets {

/// The complete list as read from the platform.
struct Listed
{
    std::vector<TargetEntry> entries;
    friend bool operator==(const Listed &, const Listed &) = default;
};

struct Updated
{
    TargetEntry entry;
    friend bool operator==(const Updated &, const Updated &) = default;
};

struct Removed
{
    core::TargetId target;
    friend bool operator==(const Removed &, const Removed &) = default;
};

/// A call to the platform failed.
struct PlatformFailed
{
    friend bool operator==(const PlatformFailed &, const PlatformFailed &) = default;
};

struct Tick
{
    friend bool operator==(const Tick &, const Tick &) = default;
};

using Event = std::variant<Listed, Updated, Removed, PlatformFailed, Tick>;

} // namespace targets

/// Targets that may be used. An entry that is removed during or shortly after a platform outage may
/// have lapsed although its target is live, so it remains usable for at least `kLapseGrace`.
class TargetDirectory
{
public:
    /// Lapsed entries reappear within two seconds after an outage; requests must end within the
    /// same time if the target has left.
    static constexpr std::chrono::milliseconds kLapseGrace {1700};

    /// True if the usable targets changed.
    bool handle(const targets::Event &event, core::TimePoint now);

    const TargetEntries &entries() const { return entries_; }

private:
    bool remove(const core::TargetId &target, core::TimePoint now);
    bool hadRecentOutage(core::TimePoint now) const;

    TargetEntries entries_;
    std::map<core::TargetId, core::TimePoint> lapsing_;
    std::optional<core::TimePoint> platformFailedAt_;
};

} // namespace boragerack::decisions
