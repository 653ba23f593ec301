#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "boragerack/decisions/ConfigurationRelay.h"
#include "boragerack/decisions/ConfigurationSync.h"
#include "boragerack/decisions/FleetCharts.h"
#include "boragerack/decisions/FleetMessages.h"
#include "boragerack/decisions/FleetSafeguards.h"
#include "boragerack/decisions/FreshnessMonitor.h"
#include "boragerack/decisions/MemberView.h"
#include "boragerack/decisions/OutageQuorum.h"
#include "boragerack/decisions/Overlay.h"
#include "boragerack/decisions/PrefixWatch.h"

namespace boragerack::decisions {

/// Connects configuration, freshness, members and overlay of one node. The task that owns it
/// executes the actions as platform calls and messages and passes the results to handle() as
/// events. Every platform call must produce an event, a failure if it times out, and a Tick is
/// required at least every 100 ms.
class FleetAgent
{
public:
    enum class Prefix { Lists, Nodes };

    struct Tick
    {
    };
    struct MessageReceived
    {
        core::InstanceId from;
        FleetMessage message;
    };
    struct LinkBroken
    {
        core::InstanceId peer;
    };
    /// Response to `ReadPrefix` or `WatchPrefix` for `Prefix::Lists`.
    struct ListsAnswered
    {
        std::uint64_t request = 0;
        ConfigurationRelay::ListsRead lists;
    };
    /// Response to `ReadPrefix` or `WatchPrefix` for `Prefix::Nodes`.
    struct NodesAnswered
    {
        std::uint64_t request = 0;
        MemberView::RecordsRead records;
    };
    struct PrefixFailed
    {
        Prefix prefix = Prefix::Lists;
        std::uint64_t request = 0;
        bool isRevisionTooOld = false;
    };
    /// Graceful shutdown: the node's record is removed and not written again.
    struct StopRequested
    {
    };
    using Event =
        std::variant<Tick, MessageReceived, LinkBroken, ListsAnswered, NodesAnswered, PrefixFailed,
                     StopRequested, MemberView::InstancesRead, MemberView::RecordWritten,
                     ConfigurationRelay::HeadRead, ConfigurationRelay::PartRead,
                     ConfigurationRelay::ReadFailed, ConfigurationRelay::CandidateChecked,
                     ConfigurationRelay::PartWritten, ConfigurationRelay::HeadWritten,
                     ConfigurationSync::CheckFinished, FreshnessMonitor::ProbeFinished>;

    struct SendMessage
    {
        core::InstanceId to;
        FleetMessage message;
    };
    /// Send `fetch` to the peers in the settings, because this node knows no other member.
    struct QueryBootstrapPeers
    {
        MemberFetch fetch;
    };
    struct ReadPrefix
    {
        Prefix prefix = Prefix::Lists;
        std::uint64_t request = 0;
    };
    /// Wait at most 500 ms for a change. The start of a watch counts as the time of its proof, so a
    /// longer wait would use up too much of the freshness bound.
    struct WatchPrefix
    {
        Prefix prefix = Prefix::Lists;
        std::uint64_t request = 0;
        std::uint64_t after = 0;
    };
    struct ReadInstances
    {
    };
    /// Replace `nodes/<self>` unconditionally.
    struct WriteRecord
    {
        MemberRecord record;
    };
    using Action =
        std::variant<SendMessage, QueryBootstrapPeers, ReadPrefix, WatchPrefix, ReadInstances,
                     WriteRecord, MemberView::RemoveRecord, MemberView::MembersChanged,
                     ConfigurationRelay::ReadHead, ConfigurationRelay::ReadPart,
                     ConfigurationRelay::CheckCandidate, ConfigurationRelay::WritePart,
                     ConfigurationRelay::WriteHead, ConfigurationRelay::WriteStatus,
                     ConfigurationSync::CheckLists, ConfigurationSync::ApplyConfiguration,
                     ConfigurationSync::ReportFault, FreshnessMonitor::StartServing,
                     FreshnessMonitor::StopServing, FreshnessMonitor::ProbePlatform>;

    FleetAgent(const FleetCharts &charts, MemberRecord self, FleetSafeguards safeguards = {});

    std::vector<Action> handle(const Event &event, core::TimePoint now);

    const MemberView &members() const { return members_; }
    const ConfigurationSync &configuration() const { return configuration_; }
    const FreshnessMonitor &freshness() const { return freshness_; }

private:
    void on(const Tick &event);
    void on(const MessageReceived &event);
    void on(const LinkBroken &event);
    void on(const ListsAnswered &event);
    void on(const NodesAnswered &event);
    void on(const PrefixFailed &event);
    void on(const StopRequested &event);
    void on(const MemberView::InstancesRead &event) { perform(members_.handle(event, now_)); }
    void on(const MemberView::RecordWritten &event) { perform(members_.handle(event, now_)); }
    void on(const ConfigurationSync::CheckFinished &event);
    void on(const FreshnessMonitor::ProbeFinished &event)
    {
        perform(freshness_.handle(event, now_));
    }
    template<class RelayEvent>
    void on(const RelayEvent &event)
    {
        perform(relay_.handle(event, now_));
    }

    void receive(const core::InstanceId &from, const Heartbeat &message);
    void receive(const core::InstanceId &from, const HeartbeatReply &message);
    void receive(const core::InstanceId &from, const MemberEvent &message);
    void receive(const core::InstanceId &from, const ConfigFetch &message);
    void receive(const core::InstanceId &from, const ConfigUpdate &message);
    void receive(const core::InstanceId &from, const MemberFetch &message);
    void receive(const core::InstanceId &from, const MemberTable &message);
    void receive(const core::InstanceId &from, const ProbeRequest &message);
    void receive(const core::InstanceId &from, const ProbeReport &message);

    /// Dispatches the actions of one module: actions that another module handles become its events,
    /// all others are returned by handle().
    template<class ModuleAction>
    void perform(const std::vector<ModuleAction> &actions)
    {
        for (const ModuleAction &action : actions)
            std::visit([this](const auto &concrete) { this->apply(concrete); }, action);
    }

    template<class Outgoing>
    void apply(const Outgoing &action)
    {
        actions_.emplace_back(action);
    }
    void apply(const ConfigurationSync::FetchUpdate &action);
    void apply(const ConfigurationSync::SendUpdate &action);
    void apply(const ConfigurationSync::ApplyConfiguration &action);
    void apply(const ConfigurationRelay::AdoptHead &action);
    void apply(const ConfigurationRelay::RecordReadProof &action);
    void apply(const FreshnessMonitor::ProofRenewed &) { }
    void apply(const MemberView::DisseminateEvent &action);
    void apply(const MemberView::MembersChanged &action);
    void apply(const Overlay::SendHeartbeat &action);
    void apply(const Overlay::SendReply &action);
    void apply(const Overlay::PeerResponded &action);
    void apply(const Overlay::PeerUnresponsive &action);
    void apply(const Overlay::PeerProofReceived &action);
    void apply(const Overlay::VersionSeen &action);
    void apply(const Overlay::PullMembers &action);
    void apply(const OutageQuorum::SendProbeRequest &action);
    void apply(const OutageQuorum::SendReport &action);
    void apply(const OutageQuorum::ConfirmOutage &action);

    void send(const core::InstanceId &to, FleetMessage message);
    void performWatch(Prefix prefix, const std::vector<PrefixWatch::Action> &actions);
    void updateRole();
    void updateReport();

    core::InstanceId self_;
    ConfigurationSync configuration_;
    ConfigurationRelay relay_;
    FreshnessMonitor freshness_;
    MemberView members_;
    OutageQuorum outageQuorum_;
    Overlay overlay_;
    PrefixWatch listsWatch_;
    PrefixWatch nodesWatch_;

    core::TimePoint now_;
    std::vector<Action> actions_;
    bool isRelay_ = false;
    bool isStarted_ = false;
    bool isStopping_ = false;
    NodeReport lastReport_;
    std::optional<core::TimePoint> lastReportProvenAt_;
    core::TimePoint listsRequestedAt_;
    std::optional<core::TimePoint> recordWriteRequestedAt_;
    std::optional<core::TimePoint> bootstrapRequestedAt_;
    std::optional<core::TimePoint> instancesRequestedAt_;
};

} // namespace boragerack::decisions
