#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "PlacementFakes.h"
#include "boragerack/core/SeededRandomSource.h"
#include "boragerack/decisions/LoadPlanner.h"

namespace boragerack::decisions {

using Millis = std::chrono::milliseconds;

/// Mechanism that a test switches off to show that a check notices.
enum class SwitchedOff {
    Nothing,
    IntentBeforeOrder, ///< The ledger is told that a reservation is written before it is.
    HoldingUnconfirmedOrders, ///< An order without an answer counts as not sent after a time limit.
    RecognisingOwnWrites, ///< A write without an answer is repeated without its condition.
    Coalescing, ///< Decisions for a model do not depend on the version of its record.
};

/// Planners, a platform and engines in virtual time, with delays, losses and pauses.
class PlacementSimulation
{
public:
    struct Delays
    {
        Millis call {5}; ///< Longest one-way time to the platform or an engine.
        Millis order {5}; ///< Longest time an order stays on the way.
        Millis reportLag {50};
        Millis reportInterval {250};
        Millis answerLimit {2000}; ///< Time after which a caller counts an answer as lost.
        Millis unload {200};
        Millis drain {50};
        unsigned lostAnswerPercent = 0;
    };
    struct Settings
    {
        std::vector<FakeEngine::Settings> engines;
        std::vector<CatalogueEntry> catalogue;
        std::size_t planners = 1;
        std::uint64_t seed = 1;
        PlannerSettings planner;
        std::function<std::unique_ptr<PlacementPolicy>()> makePolicy;
        /// Time of a load of this size from this place with the given number of others running.
        std::function<core::Duration(CheckpointTier, const Artifact &, std::uint64_t, unsigned)>
            loadTime;
        SwitchedOff switchedOff = SwitchedOff::Nothing;
    };

    PlacementSimulation(Settings settings, const PlacementCharts &charts);

    Delays delays;

    core::TimePoint now() const { return now_; }
    void at(core::TimePoint time, std::function<void()> action);
    void runUntil(core::TimePoint end);

    void setPlanner(std::size_t index, bool isPlanner);
    void requestColdStart(std::size_t index, const Artifact &artifact, core::Duration patience);
    void send(std::size_t index, const PlannerEvent &event);
    /// A paused process neither receives events nor lets actions leave.
    void pause(std::size_t index, core::Duration duration);
    /// The process dies; the others learn that its instance is gone for good 30 s later.
    void kill(std::size_t index);
    void startOutage(core::Duration duration);
    void killEngine(std::size_t index);

    const std::vector<std::string> &violations() const { return violations_; }
    std::size_t loadsOf(const Artifact &artifact) const;
    std::size_t loads() const { return loadCount_; }
    const std::map<std::uint64_t, core::TimePoint> &deadlines() const { return deadlines_; }
    const std::vector<FakeEngine> &engines() const { return engines_; }
    const FakeRecordStore &platform() const { return platform_; }
    const LoadPlanner &planner(std::size_t index) const { return *processes_.at(index).planner; }
    bool isAlive(std::size_t index) const { return processes_.at(index).isAlive; }

    std::function<void(std::size_t, const ColdStartAnswered &)> onAnswer = [](auto, const auto &) {
    };
    std::function<void(std::size_t, const ReplicaStateChanged &)> onReplicaStateChanged =
        [](auto, const auto &) {};
    /// Called when a planner decides to send an order, before it leaves the process.
    std::function<void(std::size_t, const SendOrder &)> onOrder = [](auto, const auto &) {};
    std::function<bool(const Artifact &, const core::TargetId &)> isBusy =
        [](const auto &, const auto &) { return false; };

private:
    struct Process
    {
        std::unique_ptr<LoadPlanner> planner;
        bool isAlive = true;
        bool isPlanner = false;
        core::TimePoint pausedUntil = {};
        core::TimePoint tickAt = {};
        std::vector<PlannerEvent> inbox;
    };

    void deliver(std::size_t index, const PlannerEvent &event);
    void resume(std::size_t index);
    void handle(std::size_t index, const PlannerEvent &event);
    void leave(std::size_t index, const std::function<void()> &action);
    void perform(std::size_t index, const WriteModel &action);
    void perform(std::size_t index, const WriteTarget &action);
    void perform(std::size_t index, const SendOrder &action);
    void perform(std::size_t index, const ReplicaStateChanged &action);
    void perform(std::size_t index, const ColdStartAnswered &action);
    void drain(std::size_t index, const ReplicaStateChanged &moved);
    template<class Write>
    void put(std::size_t index, const Write &write);
    void answerPut(std::size_t index, const WriteAnswered &answer, core::TimePoint sentAt);
    void publish(const PlannerEvent &event);
    void arrive(std::size_t index, const SendOrder &order, core::TimePoint sentAt);
    void checkLoad(const SendOrder &order, const FakeEngine &engine);
    void startWork(FakeEngine &engine, const SendOrder &order);
    void poll(std::size_t index);
    void tick(std::size_t index, core::TimePoint due);
    void readPlatform(std::size_t index);
    bool isOutage() const { return now_ < outageUntil_; }
    core::Duration upTo(core::Duration limit);
    bool chance(unsigned percent) { return random_.next() % 100 < percent; }

    Settings settings_;
    core::SeededRandomSource random_;
    core::TimePoint now_ = {};
    std::multimap<core::TimePoint, std::function<void()>> queue_;
    FakeRecordStore platform_;
    std::vector<FakeEngine> engines_;
    std::map<core::TargetId, std::size_t> engineIndex_;
    std::vector<std::uint64_t> engineLives_;
    std::vector<Process> processes_;
    core::TimePoint outageUntil_ = {};
    unsigned remoteLoads_ = 0;
    unsigned adapterLoads_ = 0;
    /// Deadlines of the requests made by requestColdStart().
    std::map<std::uint64_t, core::TimePoint> deadlines_;
    std::size_t loadCount_ = 0;
    std::map<Artifact, std::size_t> loadsOf_;
    std::vector<std::string> violations_;
};

} // namespace boragerack::decisions
