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

/// Keeps the platform records of decided replicas and reserved memory consistent with the weights
/// in the memory of the engines.
///
/// A load is written to `models/<model>`, then to `targets/<target>`, and then ordered; an unload
/// takes these steps in reverse. The memory of an order is released only when the order cannot
/// arrive any more and its weights are not in memory (charts/order.json). No release depends on a
/// time-out; time-outs only determine when further evidence is requested.
class PlacementLedger
{
public:
    /// A replica in the view of this process.
    struct Replica
    {
        OperationId order;
        std::uint64_t memoryMiB = 0;
        ReplicaState state = ReplicaState::Absent;
        OrderState orderState = OrderState::Recorded;
        core::TimePoint since = {}; ///< Start of the current state.

        friend bool operator==(const Replica &, const Replica &) = default;
    };

    /// A target in the view of this process.
    struct Target
    {
        std::uint64_t memoryMiB = 0;
        /// Memory reserved on the platform or by a placement that is still being written.
        std::uint64_t reservedMiB = 0;
        bool checksFencing = false;
        bool isListed = false;
        bool isLeaving = false;
        bool isKnown = false; ///< Its platform record has been read.

        friend bool operator==(const Target &, const Target &) = default;
    };

    /// The identifiers of orders and writes contain the instance and incarnation of this process.
    PlacementLedger(core::InstanceId instance, std::uint64_t incarnation, PlacementCharts charts);
    PlacementLedger(const PlacementLedger &) = delete;
    PlacementLedger &operator=(const PlacementLedger &) = delete;
    ~PlacementLedger();

    /// Processes the event and returns the actions that the caller has to perform, in order.
    std::vector<LedgerAction> handle(const LedgerEvent &event, core::TimePoint now);

    /// Whether placements are accepted: this process is the planner and has read the platform
    /// records.
    bool isActive() const { return isPlanner_ && isSynchronised_; }
    std::optional<Replica> findReplica(const Artifact &artifact,
                                       const core::TargetId &target) const;
    /// Targets with a replica of the artifact in any state.
    std::vector<std::pair<core::TargetId, Replica>> replicasOf(const Artifact &artifact) const;
    /// Artifacts with a replica in any state on the target.
    std::vector<std::pair<Artifact, Replica>> replicasOn(const core::TargetId &target) const;
    std::optional<Target> findTarget(const core::TargetId &target) const;
    /// Whether the model record contains a decision for a replica that this process does not
    /// know.
    bool hasUnknownDecision(const Artifact &artifact) const;
    /// Whether an adapter of the model has a replica in any state on the target.
    bool hasAdapters(const Artifact &base, const core::TargetId &target) const;

private:
    struct TrackedReplica;
    struct ModelEntry;
    struct TargetEntry;
    using ReplicaKey = std::pair<core::TargetId, Artifact>;

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
    void on(const TargetEvacuated &event);
    void on(const TargetRemoved &event);
    void on(const InstanceRemoved &event);
    void on(const RoleChanged &event);
    void on(const PlacementTick &event);

    template<class Event>
    void fire(const ReplicaKey &key, Event event);
    void addReplica(const ReplicaKey &key, const OperationId &order, std::uint64_t memoryMiB);
    void removeReplica(const ReplicaKey &key);
    void applyModelRecord(const Versioned<ModelRecord> &object);
    void applyTargetRecord(const Versioned<TargetRecord> &object);
    void matchDecisions(const Artifact &artifact);
    void matchReservations(const core::TargetId &target);
    void applyPhase(const ReplicaKey &key, ReservationPhase phase);
    void adoptReservations(const core::TargetId &target);
    void completeModelWrite(const Artifact &artifact, const WriteAnswered &event);
    void completeTargetWrite(const core::TargetId &target, const WriteAnswered &event);
    void retryUncertainWrites();
    void reconcile();
    void writeModel(const Artifact &artifact);
    void writeTarget(const core::TargetId &target);
    void sendNextOrder(const core::TargetId &target);
    void sendUnload(const ReplicaKey &key);
    void checkReport(const ReplicaKey &key, const EngineReport &report);
    void requestEvidence(const ReplicaKey &key);
    static Replica makeReplica(const TrackedReplica &replica);
    bool isOwn(const OperationId &id) const;
    OperationId nextOperationId();

    core::InstanceId instance_;
    std::uint64_t incarnation_;
    PlacementCharts charts_;
    std::uint64_t sequence_ = 0;
    bool isPlanner_ = false;
    bool isSynchronised_ = false;
    core::TimePoint now_ = {};
    std::map<ReplicaKey, TrackedReplica> replicas_;
    std::map<Artifact, ModelEntry> models_;
    std::map<core::TargetId, TargetEntry> targets_;
    /// Platform objects of the writes whose outcome is not known yet.
    std::map<OperationId, std::variant<Artifact, core::TargetId>> writes_;
    std::map<OperationId, core::TargetId> sentOrders_;
    std::set<core::InstanceId> removedInstances_;
    /// Decisions of other planners without a reservation, and when they were first read.
    std::map<ReplicaKey, core::TimePoint> unreservedDecisions_;
    /// Objects whose record or replicas have changed since the last reconciliation.
    std::set<Artifact> dirtyModels_;
    std::set<core::TargetId> dirtyTargets_;
    std::vector<LedgerAction> actions_;
};

} // namespace boragerack::decisions
