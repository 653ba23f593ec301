#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "boragerack/decisions/serving/TargetEntry.h"

namespace boragerack::decisions {

namespace targets {

/// The complete list as read from the platform.
struct Listed
{
    std::vector<TargetEntry> entries;
    /// Number of times that each target has written its entry since its start.
    std::map<core::TargetId, std::uint64_t> heartbeats = {};
    friend bool operator==(const Listed &, const Listed &) = default;
};

struct Updated
{
    TargetEntry entry;
    /// Number of times that the target has written its entry since its start; zero if unknown.
    std::uint64_t heartbeat = 0;
    friend bool operator==(const Updated &, const Updated &) = default;
};

struct Removed
{
    core::TargetId target;
    friend bool operator==(const Removed &, const Removed &) = default;
};

/// All data centres whose evacuation is in force, as read from the platform.
struct EvacuationsListed
{
    std::set<core::DataCentreId> dataCentres;
    friend bool operator==(const EvacuationsListed &, const EvacuationsListed &) = default;
};

/// The events so far are those of a read of the platform. They include all changes up to the time
/// at which the call was sent; when its answer was handled says nothing about its content.
struct Confirmed
{
    core::TimePoint contentAt = {};
    friend bool operator==(const Confirmed &, const Confirmed &) = default;
};

/// Identifies a list that a coordinator distributes.
struct ListVersion
{
    std::uint64_t term = 0;
    std::uint64_t version = 0;
    friend auto operator<=>(const ListVersion &, const ListVersion &) = default;
};

/// A list that another node read, or the confirmation of the list of this version, which was
/// relayed before. It includes all changes up to `contentAt`.
struct Relayed
{
    std::optional<std::vector<TargetEntry>> entries;
    core::TimePoint contentAt = {};
    ListVersion version = {};
    friend auto operator<=>(const Relayed &, const Relayed &) = default;
};

/// A call to the platform failed.
struct PlatformFailed
{
    friend bool operator==(const PlatformFailed &, const PlatformFailed &) = default;
};

/// The platform was restored from an older copy. Entries written since the copy are missing until
/// the targets write them again, and those of targets that have left since are back.
struct PlatformRestored
{
    friend bool operator==(const PlatformRestored &, const PlatformRestored &) = default;
};

struct Tick
{
    friend bool operator==(const Tick &, const Tick &) = default;
};

using Event = std::variant<Listed, Updated, Removed, EvacuationsListed, Confirmed, Relayed,
                           PlatformFailed, PlatformRestored, Tick>;

} // namespace targets

/// Targets that may be used. An entry that is removed during or shortly after a platform outage may
/// have lapsed although its target is live, so it remains usable for at least `kLapseGrace`, marked
/// as unconfirmed. An entry that a restore of the platform brings back is not used unless its
/// target has written it since. A relayed list replaces only what is older than its content, for
/// each target: an answer of the platform may contain changes of up to the time at which it was
/// handled, although it confirms only those of up to the time of the call. Entries that this node
/// has read are marked with the evacuations that it has read; relayed entries carry the marks of
/// the node that read them.
class TargetDirectory
{
public:
    /// Lapsed entries reappear within two seconds after an outage; requests must end within the
    /// same time if the target has left.
    static constexpr std::chrono::milliseconds kLapseGrace {1700};

    /// True if the usable targets changed.
    bool handle(const targets::Event &event, core::TimePoint now);

    const TargetEntries &entries() const { return entries_; }
    /// Time up to which the entries include all changes.
    core::TimePoint contentAt() const { return contentAt_; }
    /// Whether the entries are those of a relayed list.
    bool isRelayed() const { return isRelayed_; }
    /// Processes that were removed from the entries and have returned since the last call.
    std::vector<TargetProcess> takeReturned() { return std::exchange(returned_, {}); }
    /// Whether this version was relayed last, so that it can be confirmed.
    bool canConfirm(const targets::ListVersion &version) const
    {
        return relayedEntries_ && relayedVersion_ == version;
    }

    friend auto operator<=>(const TargetDirectory &, const TargetDirectory &) = default;

private:
    /// The last process of a target that the platform has listed.
    struct Process
    {
        std::uint64_t startedAt = 0;
        /// Of the entry in use; zero if it is relayed.
        std::uint64_t heartbeat = 0;
        /// The largest that this node has read; zero if none.
        std::uint64_t highestHeartbeat = 0;
        bool isLeaving = false;
        /// When its entry was removed; empty while it is listed.
        std::optional<core::TimePoint> removedAt;
        /// When this node handled the last change of the target that it has read itself.
        core::TimePoint readAt = {};
        friend auto operator<=>(const Process &, const Process &) = default;
    };

    bool update(const TargetEntry &updated, std::uint64_t heartbeat);
    bool markEvacuated(const std::set<core::DataCentreId> &dataCentres);
    TargetEntry withEvacuation(TargetEntry entry) const;
    /// The entry is older than what the platform has listed for the target before.
    bool isOutdated(const TargetEntry &entry, std::uint64_t heartbeat) const;
    /// For changes that this node has read itself and handles at `now`.
    bool updateRead(const TargetEntry &updated, std::uint64_t heartbeat, core::TimePoint now);
    bool removeRead(const core::TargetId &target, core::TimePoint now);
    bool replace(const targets::Listed &list, core::TimePoint now);
    bool relay(const targets::Relayed &event, core::TimePoint now);
    /// Applies the relayed list to the targets of which this node has read nothing later.
    bool applyRelayed(core::TimePoint contentAt, core::TimePoint now);
    bool hasReadSince(const core::TargetId &target, core::TimePoint contentAt) const;
    std::vector<core::TargetId> missingFrom(const std::vector<TargetEntry> &list) const;
    bool removeLapsed(core::TimePoint now);
    bool remove(const core::TargetId &target, core::TimePoint now);
    bool hadRecentOutage(core::TimePoint now) const;

    TargetEntries entries_;
    std::set<core::DataCentreId> evacuated_;
    std::map<core::TargetId, Process> processes_;
    core::TimePoint contentAt_ = {};
    /// When this node handled the last complete list that it has read itself.
    core::TimePoint listedAt_ = {};
    bool isRelayed_ = false;
    /// The last relayed list, which later confirmations refer to, even if it is not in use.
    std::optional<std::vector<TargetEntry>> relayedEntries_;
    targets::ListVersion relayedVersion_;
    /// The relayed list is in use for all targets.
    bool isRelayApplied_ = false;
    std::map<core::TargetId, core::TimePoint> lapsing_;
    std::vector<TargetProcess> returned_;
    std::optional<core::TimePoint> platformFailedAt_;
    std::optional<core::TimePoint> platformRestoredAt_;
    /// No list that is more recent than the last failed call has arrived.
    bool isPlatformLost_ = false;
};

} // namespace boragerack::decisions
