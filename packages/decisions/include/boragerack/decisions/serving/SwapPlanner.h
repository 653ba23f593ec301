#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/serving/DemandTracker.h"
#include "boragerack/decisions/serving/LongPromptPlanner.h"
#include "boragerack/decisions/serving/SwapMessages.h"
#include "boragerack/decisions/serving/TargetTracker.h"

namespace boragerack::decisions {

/// Decides which model engine loads which weights. All waiting requests for one model cause one
/// load, on the engine with the lowest cost: load time plus the cost for the other requests.
class SwapPlanner
{
public:
    explicit SwapPlanner(std::shared_ptr<const TargetOrderBinding> chart);

    std::vector<swap::Action> handle(const swap::Event &event, core::TimePoint now);

    std::uint64_t placementVersion() const { return version_; }
    /// Placements of targets whose served artifacts, or models with long prompts, changed after the
    /// version.
    std::vector<TargetPlacement> placementsSince(std::uint64_t version) const;

    std::vector<TargetLoad> loads() const { return demandTracker_.loads(); }

    /// Choices of replicas for long prompts that changed since the last call.
    std::vector<LongPromptChoice> takeLongPromptChoices()
    {
        return std::exchange(changedLongPromptChoices_, {});
    }

private:
    /// Another replica is loaded if more requests than this are in flight per replica.
    static constexpr double kRequestsPerReplica = 10;

    using Actions = std::vector<swap::Action>;

    struct Target
    {
        TargetTracker tracker;
        /// Model for which this target is unloading others.
        std::optional<core::ModelId> reservedFor;
        std::vector<core::ModelId> longPromptModels;
        std::uint64_t longPromptChanges = 0;
        std::uint64_t publishedChanges = 0;
        std::uint64_t publishedVersion = 0;
    };

    /// Properties of a service's engines and, by identifier, of its models.
    struct Engine
    {
        EngineFigures figures;
        std::map<core::ModelId, ModelFigures> models;
    };

    /// State of all targets, collected once per decision.
    struct Survey
    {
        struct Model
        {
            core::ServiceId service;
            /// Targets that serve it, are not leaving and accept any number of requests.
            std::uint32_t ready = 0;
            /// Targets that serve it at a limited rate.
            std::vector<const Target *> limited;
            /// Some target loads it or is reserved for it.
            bool isBeingPlaced = false;
        };
        std::map<core::ModelId, Model> models;
        /// Models that evacuated targets serve, with their service.
        std::map<core::ModelId, core::ServiceId> evacuatedModels;
        /// Targets that can accept an order now.
        std::vector<Target *> freeTargets;
        /// Orders without a response so far.
        std::size_t openOrders = 0;
    };

    /// What the adapters of one decision have in common. A target that gets an order is not idle
    /// afterwards, so both remain true until the end of the decision.
    struct AdapterSurvey
    {
        /// Targets that serve a model and are not leaving.
        std::map<core::ModelId, std::vector<Target *>> replicas;
        /// Targets without an adapter that may be evicted.
        std::set<const Target *> withoutVictim;
    };

    /// A model that needs one more replica.
    struct Need
    {
        core::ServiceId service;
        core::ModelId model;
        std::uint32_t waiting = 0;
        /// Time left to the target latency of the most urgent request; negative if it has passed.
        std::chrono::milliseconds timeLeft = {};
        /// The model is ready on other targets; an additional replica only evicts models at a low
        /// cost.
        bool isAdditional = false;
        /// Only evacuated targets serve the model, and no request waits for it yet; only idle
        /// models are evicted for it.
        bool isAnticipated = false;
        /// Requests beyond those that the existing replicas can run at the same time, or accept.
        std::uint32_t queued = 0;
        /// Targets serve it, but at a limited rate; another such target would not help in time.
        bool hasLimitedReplicas = false;
        /// Time in which these targets accept the requests that wait.
        double limitedSeconds = 0;

        bool needsUnlimitedTarget() const { return hasLimitedReplicas || isAdditional; }
    };

    /// A candidate placement for a need.
    struct Option
    {
        Target *target = nullptr;
        std::vector<core::ModelId> victims;
        std::chrono::milliseconds loadTime = {};
        bool isFromStore = false;
        double cost = 0;
    };

    void on(const swap::TargetsChanged &event, core::TimePoint now);
    void on(const swap::ServicesChanged &event, core::TimePoint now);
    void on(const swap::DemandReported &event, core::TimePoint now);
    void on(const swap::NodeLeft &event, core::TimePoint now);
    void on(const swap::OrderAnswered &event, core::TimePoint now);
    void on(const swap::TargetReportReceived &event, core::TimePoint now);
    void on(const swap::RatesChanged &event, core::TimePoint now);
    void on(const swap::OrdersAllowed &event, core::TimePoint now);
    void on(const swap::Tick &event, core::TimePoint now);

    void decide(core::TimePoint now, Actions &actions);
    void requestReports(core::TimePoint now, Actions &actions);
    Survey survey(core::TimePoint now);
    std::vector<Need> modelNeeds(const std::map<Artifact, FleetDemand> &demands,
                                 const Survey &survey) const;
    /// Adds the models in use that only evacuated targets serve.
    void addEvacuatedModels(std::vector<Need> &needs,
                            const std::map<Artifact, FleetDemand> &demands, const Survey &survey,
                            core::TimePoint now) const;
    /// Time in seconds in which the targets that serve the model at a limited rate accept its
    /// waiting requests.
    double limitedSeconds(const core::ModelId &model,
                          const std::map<core::ModelId, FleetDemand> &totals,
                          const Survey &survey) const;
    std::optional<double> rateOf(const Target &target) const;
    void placeModel(const Need &need, Survey &survey, core::TimePoint now, Actions &actions);
    void placeAdapters(const std::map<Artifact, FleetDemand> &demands, core::TimePoint now,
                       Actions &actions);
    void placeAdapter(const Artifact &artifact, AdapterSurvey &survey,
                      const std::map<Artifact, FleetDemand> &demands, core::TimePoint now,
                      Actions &actions);
    /// Whether the target has an adapter slot and memory for the adapter.
    bool hasRoomFor(const Artifact &adapter, const Target &target) const;
    /// For a target without an adapter that may be evicted: checks whether adapters have arrived
    /// that may be, and evicts another model if only memory is missing.
    void makeRoomFor(const Artifact &adapter, Target &target, core::TimePoint now,
                     Actions &actions);
    void evictModel(Target &target, const core::ModelId &victim, Actions &actions);
    /// An adapter of the target that no request uses, or else one that only requests of a node that
    /// no longer reports may use.
    std::optional<Artifact> findAdapterVictim(const Target &target,
                                              const std::map<Artifact, FleetDemand> &demands) const;
    std::optional<Option> chooseOption(const Need &need, bool mayUseStore, const Survey &survey,
                                       core::TimePoint now);
    std::optional<Option> makeOption(Target &target, const Need &need, bool mayUseStore,
                                     const Survey &survey, core::TimePoint now);
    bool addVictims(Option &option, const Need &need, std::uint64_t missingMb, const Survey &survey,
                    core::TimePoint now);
    double evictionCost(const Target &target, const core::ModelId &model, const Survey &survey,
                        core::TimePoint now) const;
    void applyOption(const Option &option, const Need &need, Survey &survey, Actions &actions);
    void chooseLongPromptTargets(core::TimePoint now);
    LongPromptPlanner::Work longPromptWork(core::TimePoint now) const;
    void publish();

    const Engine *engineOf(const core::ServiceId &service) const;
    const ModelFigures *figuresOf(const core::ServiceId &service, const core::ModelId &model) const;
    std::uint64_t usedMb(const Target &target) const;
    std::uint32_t usedAdapterSlots(const Target &target) const;
    /// Whether a target on which the need can be met has a copy of the weights.
    bool isCachedOnTarget(const Need &need) const;
    bool isWorthStoreLoad(const Need &need) const;
    bool mayLoadFromStore(core::TimePoint now);
    std::uint32_t storeLoads() const;
    /// Starts an order at the target; `pending` contains its duration.
    swap::SendOrder makeOrder(Target &target, swap::OrderKind kind, const Artifact &artifact,
                              PendingOrder pending);

    std::shared_ptr<const TargetOrderBinding> chart_;
    std::map<core::ServiceId, Engine> engines_;
    std::map<core::TargetId, Target> targets_;
    std::map<TargetProcess, double> rates_;
    DemandTracker demandTracker_;
    LongPromptPlanner longPromptPlanner_;
    std::vector<LongPromptChoice> changedLongPromptChoices_;
    core::TimePoint nextLongPromptChoice_ = {};
    bool mayOrder_ = false;
    /// The search for targets that are due a report request starts here.
    core::TargetId nextReportTarget_;
    core::TimePoint nextDecision_ = {};
    std::uint64_t nextOrder_ = 1;
    std::uint64_t version_ = 1;
    double storeTokens_ = 0;
    core::TimePoint storeTokensAt_ = {};
};

} // namespace boragerack::decisions
