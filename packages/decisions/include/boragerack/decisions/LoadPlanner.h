#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "boragerack/decisions/LoadCostModel.h"
#include "boragerack/decisions/PlacementLedger.h"
#include "boragerack/decisions/PlacementPolicy.h"
#include "boragerack/decisions/PlannerMessages.h"
#include "boragerack/decisions/WeightStoreLimiter.h"

namespace boragerack::decisions {

struct PlannerSettings
{
    WeightStoreLimits weightStore;
    /// A waiting request is refused this long before its deadline.
    core::Duration refusalMargin = std::chrono::milliseconds(300);
    /// Another replica may be placed when a load order has not been confirmed for this long.
    core::Duration stuckAfter = std::chrono::seconds(8);
    /// No load is placed on a target for this long after a failed load or a report that it is
    /// leaving.
    core::Duration avoidAfterFailure = std::chrono::seconds(10);

    friend bool operator==(const PlannerSettings &, const PlannerSettings &) = default;
};

/// Plans the loads for the cold-start requests of all nodes of a region, and unloads idle replicas.
/// Only the region's planner accepts requests; other nodes complete the orders they have issued.
class LoadPlanner
{
public:
    LoadPlanner(core::InstanceId instance, std::uint64_t incarnation, PlacementCharts charts,
                std::unique_ptr<PlacementPolicy> policy, const PlannerSettings &settings);
    LoadPlanner(const LoadPlanner &) = delete;
    LoadPlanner &operator=(const LoadPlanner &) = delete;
    ~LoadPlanner();

    /// Processes the event and returns the actions that the caller has to perform, in order.
    std::vector<PlannerAction> handle(const PlannerEvent &event, core::TimePoint now);

    const PlacementLedger &ledger() const { return ledger_; }
    /// Number of artifacts for which a load is requested.
    std::size_t waitingArtifacts() const { return demands_.size(); }
    /// Time by which the next PlacementTick must be sent, so that refusals and rate-limited loads
    /// happen on time.
    core::TimePoint nextTimer() const;

private:
    using ReplicaKey = std::pair<core::TargetId, Artifact>;

    struct Waiter
    {
        core::InstanceId node;
        std::uint64_t request = 0;
        core::TimePoint deadline = {};
    };
    struct Demand
    {
        core::TimePoint since = {};
        std::vector<Waiter> waiters;
        /// The target chosen for the load while it waits for memory or for the weight store.
        std::optional<core::TargetId> plannedTarget = std::nullopt;
        /// The demand for a model that an adapter needs, or that replaces an evacuated replica, is
        /// kept until then, even without waiters.
        core::TimePoint neededUntil = {};
        /// No request waits for the artifact yet; it was in use on evacuated targets.
        bool isAnticipated = false;
    };
    struct Load
    {
        core::TimePoint since = {};
        CheckpointTier tier = CheckpointTier::Remote;
        bool isCounted = false; ///< Counts against the limits of the weight store.
    };
    struct Use
    {
        core::TimePoint lastUsed = {};
        std::map<core::InstanceId, std::uint32_t> inFlight;
        /// Last time at which a request was known to run on the replica.
        std::optional<core::TimePoint> lastRequest = std::nullopt;
    };

    void on(const ColdStartRequested &event);
    void on(const ReplicaUsed &event);
    void on(const NodeLeft &event);
    void on(const CatalogueAccepted &event);
    void on(const PlatformReachable &event);
    void on(const TargetReachable &event);
    void on(const ReplicaDrained &event);
    void on(const EngineReported &event);
    void on(const TargetListed &event);
    void on(const TargetRemoved &event);
    void on(const RoleChanged &event);
    void on(const PlacementTick &event);
    template<class Event>
    void on(const Event &event);

    void forward(const LedgerEvent &event);
    void onReplicaStateChanged(const ReplicaStateChanged &change);
    /// Answers the waiting requests if a reachable replica is ready; returns whether one is.
    bool answerIfReady(const Artifact &artifact);
    void answer(const Artifact &artifact, const Waiter &waiter,
                const core::Result<core::TargetId> &outcome);
    /// Refuses the request because this process is not the planner.
    void refuseAsNotPlanner(const Artifact &artifact, const Waiter &waiter);
    void refuseExpired();
    void finishLoad(const ReplicaKey &key, bool isReady);
    void planLoads();
    void planLoad(const Artifact &artifact);
    void placeAdapter(const Artifact &artifact);
    void placeModel(const Artifact &artifact);
    void place(const Artifact &artifact, const core::TargetId &target, CheckpointTier tier);
    std::vector<TargetOffer> makeOffers(const Artifact &artifact, std::uint64_t memoryMiB) const;
    std::vector<IdleReplica> findIdle(const core::TargetId &target) const;
    /// Whether replicas on the target are being unloaded or are scheduled for it.
    bool isFreeingMemory(const core::TargetId &target) const;
    /// Whether the target is reachable and not temporarily avoided.
    bool isEligibleForLoad(const core::TargetId &target) const;
    bool isIdle(const ReplicaKey &key) const;
    bool isBeingLoaded(const Artifact &artifact) const;
    core::Duration reloadCost(const ReplicaKey &key) const;
    CheckpointTier tierOf(const Artifact &artifact, const core::TargetId &target) const;
    std::uint64_t memoryOf(const Artifact &artifact) const;
    void unloadIdle();
    void continueEvictions();
    bool isEvacuated(const core::TargetId &target) const;
    /// Whether evacuated targets have memory for the artifact, and no other target has.
    bool needsEvacuatedTarget(const Artifact &artifact) const;
    /// Informs the ledger and plans again what waits for evacuated targets.
    void applyEvacuations();
    /// Refuses the requests that only evacuated targets could serve.
    void refuseUnservable();
    /// Requests loads of the artifacts in use that have no other than evacuated replicas.
    void replaceEvacuated();

    PlacementLedger ledger_;
    std::unique_ptr<PlacementPolicy> policy_;
    PlannerSettings settings_;
    WeightStoreLimiter limiter_;
    LoadCostModel costs_;
    bool isPlanner_ = false;
    bool isPlatformReachable_ = true;
    /// Waiting loads must be planned again because of a change.
    bool isPlanningDue_ = false;
    core::TimePoint now_ = {};
    core::TimePoint lastTickAt_ = {};
    std::map<Artifact, std::uint64_t> catalogue_;
    std::map<Artifact, Demand> demands_;
    std::map<ReplicaKey, Load> loads_;
    std::map<ReplicaKey, Use> uses_;
    /// Replicas to be drained as soon as no adapter of theirs is loaded.
    std::set<ReplicaKey> evictions_;
    std::set<core::TargetId> targets_;
    std::map<core::TargetId, core::DataCentreId> dataCentres_;
    std::set<core::DataCentreId> evacuated_;
    std::set<core::TargetId> unreachable_;
    std::map<core::TargetId, std::map<Artifact, CheckpointTier>> cached_;
    std::map<core::TargetId, core::TimePoint> avoidedUntil_;
    std::vector<PlannerAction> actions_;
};

} // namespace boragerack::decisions
