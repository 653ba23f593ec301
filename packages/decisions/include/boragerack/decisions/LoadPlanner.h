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
    /// A refusal leaves this long before the deadline of the waiting request.
    core::Duration refusalMargin = std::chrono::milliseconds(300);
    /// A further replica is decided when an order has shown no effect for this long.
    core::Duration stuckAfter = std::chrono::seconds(8);
    /// A target that refused an order or lost it is avoided for this long.
    core::Duration avoidAfterFailure = std::chrono::seconds(10);

    friend bool operator==(const PlannerSettings &, const PlannerSettings &) = default;
};

/// Turns the demand of all nodes of a region into loads and idle unloads. Only the planner of the
/// region acts on demand; other nodes keep finishing the orders they have started.
class LoadPlanner
{
public:
    LoadPlanner(core::InstanceId instance, std::uint64_t incarnation, PlacementCharts charts,
                std::unique_ptr<PlacementPolicy> policy, const PlannerSettings &settings);
    LoadPlanner(const LoadPlanner &) = delete;
    LoadPlanner &operator=(const LoadPlanner &) = delete;
    ~LoadPlanner();

    std::vector<PlannerAction> handle(const PlannerEvent &event, core::TimePoint now);

    const PlacementLedger &ledger() const { return ledger_; }
    std::size_t waitingArtifacts() const { return demands_.size(); }
    /// Latest time for the next PlacementTick: a refusal is due or a load may start.
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
        /// The target where idle replicas are being unloaded for this demand.
        std::optional<core::TargetId> claim = std::nullopt;
        /// A model that an adapter waits for is kept in demand without waiters until then.
        core::TimePoint neededUntil = {};
    };
    struct Load
    {
        core::TimePoint since = {};
        CheckpointTier place = CheckpointTier::Remote;
        bool isCounted = false;
    };
    struct Use
    {
        core::TimePoint lastUsed = {};
        std::map<core::InstanceId, std::uint32_t> inFlight;
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
    void onMoved(const ReplicaStateChanged &moved);
    bool serveReady(const Artifact &artifact);
    void answer(const Artifact &artifact, const Waiter &waiter,
                const core::Result<core::TargetId> &outcome);
    void refuseNotPlanner(const Artifact &artifact, const Waiter &waiter);
    void refuseExpired();
    void finishLoad(const ReplicaKey &key, bool isReady);
    void planLoads();
    void planLoad(const Artifact &artifact);
    void placeAdapter(const Artifact &artifact);
    void placeModel(const Artifact &artifact);
    void place(const Artifact &artifact, const core::TargetId &target, CheckpointTier place);
    std::vector<TargetOffer> makeOffers(const Artifact &artifact, std::uint64_t memoryMiB) const;
    std::vector<IdleReplica> findIdle(const core::TargetId &target) const;
    bool isMakingRoom(const core::TargetId &target) const;
    bool isUsable(const core::TargetId &target) const;
    bool isIdle(const ReplicaKey &key) const;
    bool isBeingLoaded(const Artifact &artifact) const;
    core::Duration reloadCost(const ReplicaKey &key) const;
    CheckpointTier placeOf(const Artifact &artifact, const core::TargetId &target) const;
    std::uint64_t memoryOf(const Artifact &artifact) const;
    void unloadIdle();
    void continueEvictions();

    PlacementLedger ledger_;
    std::unique_ptr<PlacementPolicy> policy_;
    PlannerSettings settings_;
    WeightStoreLimiter budget_;
    LoadCostModel costs_;
    bool isPlanner_ = false;
    bool isPlatformReachable_ = true;
    /// Something has changed that may let a waiting load start.
    bool isPlanDue_ = false;
    core::TimePoint now_ = {};
    core::TimePoint tickedAt_ = {};
    std::map<Artifact, std::uint64_t> catalogue_;
    std::map<Artifact, Demand> demands_;
    std::map<ReplicaKey, Load> loads_;
    std::map<ReplicaKey, Use> uses_;
    /// Replicas to be drained as soon as they have no adapter left.
    std::set<ReplicaKey> evictions_;
    std::set<core::TargetId> targets_;
    std::set<core::TargetId> unreachable_;
    std::map<core::TargetId, std::map<Artifact, CheckpointTier>> cached_;
    std::map<core::TargetId, core::TimePoint> avoidedUntil_;
    std::vector<PlannerAction> actions_;
};

} // namespace boragerack::decisions
