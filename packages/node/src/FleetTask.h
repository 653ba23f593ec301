#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "ActiveConfiguration.h"
#include "FleetMessenger.h"
#include "MembershipSnapshot.h"
#include "boragerack/core/Clock.h"
#include "boragerack/decisions/FleetAgent.h"
#include "boragerack/platform/PlatformStore.h"
#include "boragerack/runtime/FiberGroup.h"
#include "boragerack/runtime/Mailbox.h"
#include "boragerack/runtime/Published.h"
#include "boragerack/runtime/ReplyChannel.h"

namespace boragerack::node {

/// Is notified whether the configuration of this node is fresh enough to serve.
class FreshnessListener
{
public:
    FreshnessListener() = default;
    FreshnessListener(const FreshnessListener &) = delete;
    FreshnessListener &operator=(const FreshnessListener &) = delete;
    virtual ~FreshnessListener() = default;

    virtual void onFreshnessChanged(bool mayServe) = 0;
};

/// A node requests the member table. The reply is sent on the same stream, because a starting node
/// may not be a member yet and its address is then unknown.
struct MemberTableRequested
{
    core::InstanceId from;
    decisions::MemberFetch fetch;
    runtime::ReplyChannel<decisions::MemberTable> reply;
};

using FleetTaskMessage = std::variant<decisions::FleetAgent::Event, MemberTableRequested>;

/// Owns the fleet agent of this node: members, configuration and freshness. Executes its platform
/// calls and sends its messages.
class FleetTask
{
public:
    FleetTask(const decisions::FleetCharts &charts, platform::PlatformStore &store,
              FleetMessenger &messenger, const core::Clock &clock, FreshnessListener &listener);
    ~FleetTask();

    /// `self` contains the listen addresses of this node.
    void start(const decisions::MemberRecord &self);
    void stop();
    [[nodiscard]] bool trySend(FleetTaskMessage message);

    const runtime::Published<MembershipSnapshot> &members() const { return members_; }
    const runtime::Published<ActiveConfiguration> &configuration() const { return configuration_; }

private:
    using Agent = decisions::FleetAgent;
    using Relay = decisions::ConfigurationRelay;

    void run();
    void on(const Agent::Event &event);
    void on(const MemberTableRequested &message);
    void handleEvent(const Agent::Event &event);
    /// Blocks while the mailbox is full, so the task's own fiber must use postEventAsync.
    void postEvent(Agent::Event event);
    void postEventAsync(Agent::Event event);

    void perform(const Agent::SendMessage &action);
    void perform(const Agent::QueryBootstrapPeers &action);
    void perform(const Agent::ReadPrefix &action);
    void perform(const Agent::WatchPrefix &action);
    void perform(const Agent::ReadInstances &action);
    void perform(const Agent::WriteRecord &action);
    void perform(const decisions::MemberView::RemoveRecord &action);
    void perform(const decisions::MemberView::MembersChanged &action);
    void perform(const Relay::ReadHead &action);
    void perform(const Relay::ReadPart &action);
    void perform(const Relay::CheckCandidate &action);
    void perform(const Relay::WritePart &action);
    void perform(const Relay::WriteHead &action);
    void perform(const Relay::WriteStatus &action);
    void perform(const decisions::ConfigurationSync::CheckLists &action);
    void perform(const decisions::ConfigurationSync::ApplyConfiguration &action);
    void perform(const decisions::ConfigurationSync::ReportFault &action);
    void perform(const decisions::FreshnessMonitor::StartServing &action);
    void perform(const decisions::FreshnessMonitor::StopServing &action);
    void perform(const decisions::FreshnessMonitor::ProbePlatform &action);

    void publishMembers();
    void replaceObject(const std::string &key, const std::string &value,
                       std::uint64_t *version = nullptr);

    platform::PlatformStore &store_;
    FleetMessenger &messenger_;
    const core::Clock &clock_;
    FreshnessListener &listener_;
    decisions::FleetCharts charts_;
    std::optional<Agent> agent_;
    runtime::Mailbox<FleetTaskMessage> mailbox_;
    std::map<core::InstanceId, runtime::ReplyChannel<decisions::MemberTable>> memberRequests_;
    /// Lists that passed the last check and are not in effect yet.
    std::optional<ActiveConfiguration> checked_;
    bool isStopping_ = false;
    core::TimePoint lastTickAt_;
    runtime::Published<MembershipSnapshot> members_;
    runtime::Published<ActiveConfiguration> configuration_;
    runtime::FiberGroup fibers_;
};

} // namespace boragerack::node
