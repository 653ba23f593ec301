#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

#include "boragerack/charts/ChartInstance.h"
#include "boragerack/core/Clock.h"
#include "boragerack/decisions/FleetMessages.h"

namespace boragerack::decisions {

/// Number of configuration relays.
constexpr std::size_t kRelayCount = 3;

/// Number of buckets whose hashes two nodes compare to find the member records that differ.
constexpr std::size_t kMemberBucketCount = 16;

/// One node's view of the members: their platform records and which of them are suspected. Roles
/// are assigned by rendezvous hashing over the members that are not suspected.
class MemberView
{
public:
    enum class State { Alive, Suspected, Removed };
    enum class ChartEvent { Suspect, Refute, Heartbeat, SuspicionExpired, Remove };
    enum class ChartAction { WithdrawRoles, RestoreRoles, RemoveMember };
    using Binding = charts::ChartBinding<State, ChartEvent, ChartAction>;

    static core::Result<std::shared_ptr<const Binding>> bind(const charts::StateChart &chart);

    /// Member records that a configuration relay received from the platform prefix `nodes/`: all of
    /// them if `isComplete`, otherwise the changes from a watch.
    struct RecordsRead
    {
        bool isComplete = false;
        std::uint64_t revision = 0;
        std::vector<MemberRecord> records;
    };
    /// A relay read the list of instances from the platform.
    struct InstancesRead
    {
        std::set<core::InstanceId> instances;
    };
    struct EventReceived
    {
        MemberEvent event;
    };
    struct TableReceived
    {
        std::vector<MemberRecord> records;
    };
    struct PeerResponded
    {
        core::InstanceId peer;
        std::uint64_t incarnation = 0;
        std::uint32_t refutation = 0;
    };
    /// The peer did not reply to three heartbeats, or its link is broken.
    struct PeerUnresponsive
    {
        core::InstanceId peer;
    };
    /// The platform stored this node's own record.
    struct RecordWritten
    {
        std::uint64_t version = 0;
    };
    struct Tick
    {
    };
    using Event = std::variant<RecordsRead, InstancesRead, EventReceived, TableReceived,
                               PeerResponded, PeerUnresponsive, RecordWritten, Tick>;

    /// Send the event to the overlay neighbours.
    struct DisseminateEvent
    {
        MemberEvent event;
    };
    /// A member was added, changed or removed, or is newly suspected or no longer suspected.
    struct MembersChanged
    {
    };
    /// The instance no longer exists; delete its record if it still has this version.
    struct RemoveRecord
    {
        core::InstanceId instance;
        std::uint64_t version = 0;
    };
    using Action = std::variant<DisseminateEvent, MembersChanged, RemoveRecord>;

    MemberView(std::shared_ptr<const Binding> binding, MemberRecord self);

    std::vector<Action> handle(const Event &event, core::TimePoint now);

    /// All members, sorted by the hash of their name.
    const std::vector<core::InstanceId> &ring() const { return ring_; }
    /// The members that are not suspected, in the same order.
    const std::vector<core::InstanceId> &aliveRing() const { return aliveRing_; }
    std::set<core::InstanceId> suspected() const;

    /// Returns up to `count` members responsible for the key, in order of preference, without
    /// suspected ones.
    std::vector<core::InstanceId> owners(std::string_view key, std::size_t count) const;
    bool isRelay() const;

    /// Returns null for an unknown instance.
    const MemberRecord *find(const core::InstanceId &instance) const;
    const MemberRecord &self() const { return find(selfId_) ? *find(selfId_) : selfRecord_; }
    std::uint32_t refutation() const { return refutation_; }
    /// Whether the records came from the platform or from a node that had all of them. Until then,
    /// a restarted node may know only a few members, and a majority of those proves nothing.
    bool isComplete() const { return isComplete_; }
    bool isRecorded() const { return selfRecord_.version != 0; }

    std::uint64_t hash() const;
    std::vector<std::uint64_t> bucketHashes() const;
    /// Returns the records, including removed ones, of the buckets whose hashes differ from the
    /// given ones.
    std::vector<MemberRecord> differences(const std::vector<std::uint64_t> &bucketHashes) const;

private:
    struct Entry
    {
        MemberRecord record;
        charts::ChartInstance<State, ChartEvent, ChartAction> chart;
        std::uint32_t refutation = 0;
        core::TimePoint suspectedAt;
        std::optional<core::TimePoint> disseminatedAt;
    };
    struct Removal
    {
        MemberRecord record;
        core::TimePoint at;
    };

    void on(const RecordsRead &event);
    void on(const InstancesRead &event);
    void on(const EventReceived &event);
    void on(const TableReceived &event);
    void on(const PeerResponded &event);
    void on(const PeerUnresponsive &event);
    void on(const RecordWritten &event);
    void on(const Tick &event);
    /// Merges a record. Returns whether it should be disseminated.
    bool merge(const MemberRecord &record);
    bool mergeOwn(const MemberRecord &record);
    bool applySuspicion(const MemberEvent &event);
    bool applyRefutation(const MemberEvent &event);
    void disseminate(MemberEventKind kind, const MemberRecord &record, std::uint32_t refutation);
    void fire(Entry &entry, ChartEvent event);
    void rebuild();

    std::shared_ptr<const Binding> binding_;
    core::InstanceId selfId_;
    MemberRecord selfRecord_;
    std::uint32_t refutation_ = 0;
    core::TimePoint now_;
    std::vector<Action> actions_;
    bool isChanged_ = false;
    bool isComplete_ = false;
    std::map<core::InstanceId, Entry> entries_;
    std::map<core::InstanceId, Removal> removals_;
    std::vector<core::InstanceId> ring_;
    std::vector<core::InstanceId> aliveRing_;
    std::array<std::uint64_t, kMemberBucketCount> buckets_ = {};
    std::set<core::InstanceId> seenInstances_;
    std::map<core::InstanceId, core::TimePoint> missingSince_;
};

} // namespace boragerack::decisions
