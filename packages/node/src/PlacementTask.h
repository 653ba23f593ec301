#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "ChartSet.h"
#include "NodeIdentity.h"
#include "PlacementMessage.h"
#include "PlannerClient.h"
#include "boragerack/core/Clock.h"
#include "boragerack/decisions/LoadPlanner.h"
#include "boragerack/runtime/FiberGroup.h"
#include "boragerack/runtime/HttpClient.h"
#include "boragerack/runtime/Metrics.h"

namespace boragerack::node {

/// Owns the load planner of this node: converts messages to planner events and executes its writes
/// and orders. Cold start requests are sent to the planner of the region, which may be this node.
class PlacementTask final : public TargetWatchListener
{
public:
    PlacementTask(const NodeIdentity &identity, const ChartSet &charts,
                  const decisions::PlannerSettings &settings, platform::PlatformStore &store,
                  runtime::HttpClient &client, PlannerClient &plannerClient,
                  const core::Clock &clock, std::chrono::milliseconds reportInterval,
                  runtime::Metrics &metrics);
    ~PlacementTask() override;

    void start();
    void stop();

    /// Returns false if the mailbox is full.
    [[nodiscard]] bool trySend(PlacementMessage message);
    /// Waits for space in the mailbox. False if the task has ended.
    [[nodiscard]] bool send(PlacementMessage message);

    void onTargetChanges(const TargetChanges &changes) override;
    void onInstances(const std::vector<platform::InstanceRecord> &instances) override;
    void onPlatformReachable(bool isReachable) override;

    bool isPlanner() const { return planner_ == identity_.instance; }

private:
    /// Interval of reading reports while a load or unload is in progress on the target.
    static constexpr std::chrono::milliseconds kBusyReportInterval {50};

    struct Drain
    {
        std::uint64_t number = 0;
        core::TimePoint notBefore;
    };
    using ReplicaKey = std::pair<core::TargetId, decisions::Artifact>;

    void run();
    void on(const RequestColdStart &message);
    void on(const RemoteColdStartRequest &message);
    void on(const InstancesListed &message);
    void on(const PlannerCandidates &message);
    void on(const StopPlacement &message);
    void on(const TargetChanges &message);
    void on(const ReportFetched &message);
    void on(const decisions::TargetReachable &message);
    void on(const decisions::ReplicaUsed &message);
    template<class Event>
    void on(const Event &event);

    void handleEvent(const decisions::PlannerEvent &event);
    void perform(const decisions::WriteModel &action);
    void perform(const decisions::WriteTarget &action);
    void perform(const decisions::SendOrder &action);
    void perform(const decisions::ReplicaStateChanged &action);
    void perform(const decisions::ColdStartAnswered &action);
    void startReport(const core::TargetId &target);
    void pollReports();
    void finishDrains();
    void sendUses();
    void countReplicaTime();
    bool hasLoadInProgress(const core::TargetId &target) const;

    NodeIdentity identity_;
    platform::PlatformStore &store_;
    runtime::HttpClient &client_;
    PlannerClient &plannerClient_;
    const core::Clock &clock_;
    std::chrono::milliseconds reportInterval_;
    runtime::Metrics &metrics_;
    core::TimePoint countedAt_;
    decisions::LoadPlanner loadPlanner_;
    runtime::Mailbox<PlacementMessage> mailbox_;
    core::InstanceId planner_;
    std::uint64_t nextRequest_ = 1;
    bool isRunning_ = true;
    std::map<std::pair<core::InstanceId, std::uint64_t>,
             runtime::ReplyChannel<core::Result<core::TargetId>>>
        waiting_;
    std::map<core::TargetId, platform::InstanceRecord> engines_;
    std::set<core::TargetId> reportsInProgress_;
    std::map<core::TargetId, core::TimePoint> reportedAt_;
    /// Number of consecutive report requests without a response.
    std::map<core::TargetId, unsigned> missedReports_;
    std::map<ReplicaKey, Drain> drains_;
    /// Requests in flight on this node, and the numbers last reported to the planner.
    std::map<ReplicaKey, std::uint32_t> uses_;
    std::map<ReplicaKey, std::uint32_t> reportedUses_;
    core::TimePoint usesSentAt_;
    std::map<core::InstanceId, std::map<ReplicaKey, std::uint32_t>> usesByNode_;
    /// Instances that have been listed, and the time since which they are missing.
    std::set<core::InstanceId> listed_;
    std::map<core::InstanceId, core::TimePoint> missingSince_;
    runtime::FiberGroup fibers_;
};

} // namespace boragerack::node
