#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/PlacementMessages.h"
#include "boragerack/decisions/ReplicaLifecycle.h"

namespace boragerack::decisions {

/// Keeps the records of decided replicas and reserved memory in step with what engines hold.
///
/// A load is written to `models/<model>`, then to `targets/<target>`, then ordered; an unload
/// goes the opposite way. The memory of an order is released only when the order cannot arrive
/// any more and its weights are not in memory (charts/order.json). No release depends on a time
/// limit; the times here only decide when to try for more evidence.
class PlacementLedger
{
public:
    /// One replica as this process knows it.
    struct Replica
    {
        OperationId order;
        std::uint64_t memoryMiB = 0;
        ReplicaState state = ReplicaState::Absent;
        OrderState orderState = OrderState::Recorded;
        core::TimePoint since = {};

        friend bool operator==(const Replica &, const Replica &) = default;
    };

    /// One target as this process knows it.
    struct Target
    {
        std::uint64_t memoryMiB = 0;
        std::uint64_t reservedMiB = 0;
        bool checksFencing = false;
        bool isListed = false;
        bool isLeaving = false;
        bool isKnown = false; ///< Its platform record has been read.

        friend bool operator==(const Target &, const Target &) = default;
    };

    /// Orders and writes carry the instance and incarnation of this process.
    PlacementLedger(core::InstanceId instance, std::uint64_t incarnation, PlacementCharts charts);
    PlacementLedger(const PlacementLedger &) = delete;
    PlacementLedger &operator=(const PlacementLedger &) = delete;
    ~PlacementLedger();

    std::vector<LedgerAction> handle(const LedgerEvent &event, core::TimePoint now);

    /// Whether placements are accepted: this process is planner and has read the platform.
    bool isActive() const { return isPlanner_ && isSynchronised_; }
    std::optional<Replica> findReplica(const Artifact &artifact,
                                       const core::TargetId &target) const;
    /// Targets with a replica of the artifact in any state.
    std::vector<std::pair<core::TargetId, Replica>> replicasOf(const Artifact &artifact) const;
    /// Artifacts with a replica in any state on the target.
    std::vector<std::pair<Artifact, Replica>> replicasOn(const core::TargetId &target) const;
    std::optional<Target> findTarget(const core::TargetId &target) const;
    /// Whether another planner has decided a replica for which this process knows no intent yet.
    bool hasUnknownDecision(const Artifact &artifact) const;
    /// Whether an adapter of the model has a replica in any state on the target.
    bool hasAdapters(const Artifact &base, const core::TargetId &target) const;

private:
    struct Track;
    struct ModelEntry;
    struct TargetEntry;
    using TrackKey = std::pair<core::TargetId, Artifact>;

    void on(const PlaceReplica &event);
    void on(const DrainReplica &event);
    void on(const CancelDrain &event);
    void on(const ReplicaDrained &event);
    void on(const PlatformSnapshot &event);
    void on(const ModelRead &event);
    void on(const TargetRead &event);
    void on(const WriteAnswered &event);
    void on(const OrderAnswered &event);
    void on(const EngineReported &event);
    void on(const TargetListed &event);
    void on(const TargetRemoved &event);
    void on(const InstanceRemoved &event);
    void on(const RoleChanged &event);
    void on(const PlacementTick &event);

    template<class Event>
    void fire(const TrackKey &key, Event event);
    void addTrack(const TrackKey &key, const OperationId &order, std::uint64_t memoryMiB);
    void dropTrack(const TrackKey &key);
    void acceptModel(const Versioned<ModelRecord> &object);
    void acceptTarget(const Versioned<TargetRecord> &object);
    void matchDecisions(const Artifact &artifact);
    void matchTracks(const core::TargetId &target);
    void followPhase(const TrackKey &key, ReservationPhase phase);
    void adoptIntents(const core::TargetId &target);
    void answerModel(const Artifact &artifact, const WriteAnswered &event);
    void answerTarget(const core::TargetId &target, const WriteAnswered &event);
    void repeatUncertainWrites();
    void reconcile();
    void writeModel(const Artifact &artifact);
    void writeTarget(const core::TargetId &target);
    void sendNextOrder(const core::TargetId &target);
    void sendUnload(const TrackKey &key);
    void checkReport(const TrackKey &key, const EngineReport &report);
    void seekEvidence(const TrackKey &key);
    static Replica makeReplica(const Track &track);
    bool isOwn(const OperationId &stamp) const;
    OperationId nextStamp();

    core::InstanceId instance_;
    std::uint64_t incarnation_;
    PlacementCharts charts_;
    std::uint64_t sequence_ = 0;
    bool isPlanner_ = false;
    bool isSynchronised_ = false;
    core::TimePoint now_ = {};
    std::map<TrackKey, Track> tracks_;
    std::map<Artifact, ModelEntry> models_;
    std::map<core::TargetId, TargetEntry> targets_;
    /// Objects of the writes without a final answer.
    std::map<OperationId, std::variant<Artifact, core::TargetId>> writes_;
    std::map<OperationId, core::TargetId> sentOrders_;
    std::set<core::InstanceId> gone_;
    /// Decisions of other planners without an intent, and when they were first seen.
    std::map<TrackKey, core::TimePoint> orphans_;
    /// Objects whose record or replicas have changed since the last reconciliation.
    std::set<Artifact> dirtyModels_;
    std::set<core::TargetId> dirtyTargets_;
    std::vector<LedgerAction> actions_;
};

} // namespace boragerack::decisions
