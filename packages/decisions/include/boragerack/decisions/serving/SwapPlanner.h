#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/serving/DemandTracker.h"
#include "boragerack/decisions/serving/SwapMessages.h"
#include "boragerack/decisions/serving/TargetTracker.h"

namespace boragerack::decisions {

/// Decides which model engine loads which weights. Waiting requests of one model become one load;
/// it goes to the engine that can serve the model soonest at the least cost for the others.
class SwapPlanner
{
public:
    explicit SwapPlanner(std::shared_ptr<const TargetOrderBinding> chart);

    std::vector<swap::Action> handle(const swap::Event &event, core::TimePoint now);

    std::uint64_t placementVersion() const { return version_; }
    /// Targets whose served artifacts changed after the version.
    std::vector<TargetPlacement> placementsSince(std::uint64_t version) const;

    std::vector<TargetLoad> loads() const { return book_.loads(); }

private:
    /// Requests in flight on one replica above which a further one is loaded.
    static constexpr double kRequestsPerReplica = 10;

    using Actions = std::vector<swap::Action>;

    struct Target
    {
        TargetTracker orders;
        /// Model for which this target is making room.
        std::optional<core::ModelId> reservedFor;
        std::uint64_t publishedChanges = 0;
        std::uint64_t publishedVersion = 0;
    };

    /// Figures of a service's engines, with those of its models by name.
    struct Engine
    {
        EngineFigures figures;
        std::map<core::ModelId, ModelFigures> models;
    };

    /// What the targets hold, gathered once for each decision.
    struct Survey
    {
        struct Model
        {
            core::ServiceId service;
            /// Targets that serve it and do not leave.
            std::uint32_t ready = 0;
            /// Some target loads it or makes room for it.
            bool isBeingPlaced = false;
        };
        std::map<core::ModelId, Model> models;
        /// Targets that can take an order now.
        std::vector<Target *> free;
        /// Orders that have not been answered yet.
        std::size_t openOrders = 0;
    };

    /// A model that should become ready on one more target.
    struct Need
    {
        core::ServiceId service;
        core::ModelId model;
        std::uint32_t waiting = 0;
        std::chrono::milliseconds timeToAim = {};
        /// A further replica of a model that is ready elsewhere; it takes nothing from others.
        bool isFurther = false;
    };

    /// A way to satisfy a need.
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
    void on(const swap::OrdersAllowed &event, core::TimePoint now);
    void on(const swap::Tick &event, core::TimePoint now);

    void decide(core::TimePoint now, Actions &actions);
    void askForReports(core::TimePoint now, Actions &actions);
    Survey survey(core::TimePoint now);
    std::vector<Need> modelNeeds(const std::map<Artifact, FleetDemand> &demands,
                                 const Survey &survey) const;
    void placeModel(const Need &need, Survey &survey, core::TimePoint now, Actions &actions);
    void placeAdapter(const Artifact &artifact, const std::map<Artifact, FleetDemand> &demands,
                      core::TimePoint now, Actions &actions);
    std::optional<Option> makeOption(Target &target, const Need &need, bool mayUseStore,
                                     const Survey &survey, core::TimePoint now);
    bool addVictims(Option &option, const Need &need, std::uint64_t missingMb, const Survey &survey,
                    core::TimePoint now);
    double evictionCost(const Target &target, const core::ModelId &model, const Survey &survey,
                        core::TimePoint now) const;
    void follow(const Option &option, const Need &need, Survey &survey, Actions &actions);
    void publish();

    const Engine *engineOf(const core::ServiceId &service) const;
    const ModelFigures *figuresOf(const core::ServiceId &service, const core::ModelId &model) const;
    std::uint64_t usedMb(const Target &target) const;
    std::uint32_t usedAdapterPlaces(const Target &target) const;
    bool isAtHand(const core::ServiceId &service, const core::ModelId &model) const;
    bool mayLoadFromStore(core::TimePoint now);
    std::uint32_t storeLoads() const;
    /// Begins an order at the target; `pending` says how long it takes.
    swap::SendOrder makeOrder(Target &target, swap::OrderKind kind, const Artifact &artifact,
                              PendingOrder pending);

    std::shared_ptr<const TargetOrderBinding> chart_;
    std::map<core::ServiceId, Engine> engines_;
    std::map<core::TargetId, Target> targets_;
    DemandTracker book_;
    bool mayOrder_ = false;
    /// The target that is asked first for a report.
    core::TargetId nextAsked_;
    core::TimePoint nextDecision_ = {};
    std::uint64_t nextOrder_ = 1;
    std::uint64_t version_ = 1;
    double storeTokens_ = 0;
    core::TimePoint storeTokensAt_ = {};
};

} // namespace boragerack::decisions
