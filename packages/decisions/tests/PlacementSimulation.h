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

/// Mechanism that a test disables to show that a check detects its absence.
enum class DisabledMechanism {
    Nothing,
    ReservationBeforeOrder, ///< Writes of reservations are acknowledged before they are applied.
    HoldingUnconfirmedOrders, ///< An order without an answer counts as not sent after a time-out.
    RecognisingOwnWrites, ///< A write without an answer is repeated unconditionally.
    Coalescing, ///< Decisions are written without a condition on the version of the model record.
};

/// Discrete-event simulation of planners, a platform and engines, with delays, lost answers, pauses
/// and crashes.
class PlacementSimulation
{
public:
    struct Delays
    {
        Millis call {5}; ///< Maximum one-way delay to the platform, and of answers.
        Millis order {5}; ///< Maximum delivery delay of an order.
        Millis reportLag {50}; ///< Maximum delivery delay of a report.
        Millis reportInterval {250};
        Millis answerLimit {2000}; ///< Time-out after which a caller treats an answer as lost.
        Millis unload {200};
        Millis drain {50}; ///< Maximum interval between checks for requests in flight.
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
        /// Load time for a tier, artifact, size in MiB, and number of running loads including this
        /// one.
        std::function<core::Duration(CheckpointTier, const Artifact &, std::uint64_t, unsigned)>
            loadTime;
        DisabledMechanism disabledMechanism = DisabledMechanism::Nothing;
    };

    PlacementSimulation(Settings settings, const PlacementCharts &charts);

    Delays delays;

    core::TimePoint now() const { return now_; }
    /// Schedules the action; times in the past mean now.
    void at(core::TimePoint time, std::function<void()> action);
    void runUntil(core::TimePoint end);

    void setPlanner(std::size_t index, bool isPlanner);
    /// Sends a ColdStartRequested whose deadline is `timeout` from now.
    void requestColdStart(std::size_t index, const Artifact &artifact, core::Duration timeout);
    void send(std::size_t index, const PlannerEvent &event);
    /// A paused process neither handles events nor performs actions.
    void pause(std::size_t index, core::Duration duration);
    /// Terminates the process; InstanceRemoved is sent to the others 30 s later.
    void kill(std::size_t index);
    void startOutage(core::Duration duration);
    /// Crashes the engine, which restarts immediately.
    void killEngine(std::size_t index);

    /// Safety invariants that were violated, in order of detection.
    const std::vector<std::string> &violations() const { return violations_; }
    /// Number of loads of the artifact that engines have accepted.
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
    /// Called when a planner issues an order, before the process sends it.
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
    /// Performs the action after a short delay, unless the process is terminated by then, or when
    /// its pause ends.
    void sendOut(std::size_t index, const std::function<void()> &action);
    void perform(std::size_t index, const WriteModel &action);
    void perform(std::size_t index, const WriteTarget &action);
    void perform(std::size_t index, const SendOrder &action);
    void perform(std::size_t index, const ReplicaStateChanged &action);
    void perform(std::size_t index, const ColdStartAnswered &action);
    void drain(std::size_t index, const ReplicaStateChanged &change);
    template<class Write>
    void put(std::size_t index, const Write &write);
    void answerPut(std::size_t index, const WriteAnswered &answer, core::TimePoint sentAt);
    /// Sends the event to all planners.
    void publish(const PlannerEvent &event);
    void arrive(std::size_t index, const SendOrder &order, core::TimePoint sentAt);
    void checkLoad(const SendOrder &order, const FakeEngine &engine);
    void startExecution(FakeEngine &engine, const SendOrder &order);
    void poll(std::size_t index);
    void tick(std::size_t index, core::TimePoint due);
    void readPlatform(std::size_t index);
    bool isOutage() const { return now_ < outageUntil_; }
    /// Uniformly distributed from zero to the limit.
    core::Duration randomDelay(core::Duration limit);
    bool randomBool(unsigned percent) { return random_.next() % 100 < percent; }

    Settings settings_;
    core::SeededRandomSource random_;
    core::TimePoint now_ = {};
    std::multimap<core::TimePoint, std::function<void()>> queue_;
    FakeRecordStore platform_;
    std::vector<FakeEngine> engines_;
    std::map<core::TargetId, std::size_t> engineIndex_;
    std::vector<std::uint64_t> engineGenerations_;
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
