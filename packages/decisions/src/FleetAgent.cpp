#include "boragerack/decisions/FleetAgent.h"

#include <chrono>
#include <utility>

namespace boragerack::decisions {

namespace {

constexpr std::chrono::milliseconds kRequestInterval {1000};

/// Returns whether `kRequestInterval` has passed since `lastAt`, and if so sets `lastAt` to `now`.
bool markIfDue(std::optional<core::TimePoint> &lastAt, core::TimePoint now)
{
    if (lastAt && now - *lastAt < kRequestInterval)
        return false;
    lastAt = now;
    return true;
}

} // namespace

FleetAgent::FleetAgent(const FleetCharts &charts, MemberRecord self, FleetSafeguards safeguards)
    : self_(self.instance)
    , configuration_(charts.configuration, safeguards)
    , relay_(charts.acceptance, self.instance, self.incarnation)
    , freshness_(charts.freshness, safeguards)
    , members_(charts.member, std::move(self))
    , outageQuorum_(self_, safeguards)
    , overlay_(self_)
    , listsWatch_(charts.watch)
    , nodesWatch_(charts.watch)
{
}

std::vector<FleetAgent::Action> FleetAgent::handle(const Event &event, core::TimePoint now)
{
    now_ = now;
    std::visit([this](const auto &concrete) { on(concrete); }, event);
    updateReport();
    return std::exchange(actions_, {});
}

void FleetAgent::on(const Tick &)
{
    // A node that knows no other member is a relay and thus reads the members from the platform.
    if (!std::exchange(isStarted_, true))
        updateRole();
    perform(configuration_.handle(ConfigurationSync::Tick {}, now_));
    perform(relay_.handle(ConfigurationRelay::Tick {}, now_));
    perform(freshness_.handle(FreshnessMonitor::Tick {}, now_));
    perform(members_.handle(MemberView::Tick {}, now_));
    perform(outageQuorum_.handle(
        OutageQuorum::Tick {isRelay_ && members_.isComplete(), freshness_.failedProbeAt(now_),
                            freshness_.mayVote(), configuration_.version()},
        now_));
    perform(overlay_.handle(Overlay::Tick {}, now_));
    performWatch(Prefix::Lists, listsWatch_.handle(PrefixWatch::Tick {}, now_));
    performWatch(Prefix::Nodes, nodesWatch_.handle(PrefixWatch::Tick {}, now_));
    if (!members_.isRecorded() && !isStopping_ && markIfDue(recordWriteRequestedAt_, now_))
        actions_.emplace_back(WriteRecord {members_.self()});
    if (members_.ring().size() == 1 && markIfDue(bootstrapRequestedAt_, now_))
        actions_.emplace_back(QueryBootstrapPeers {{members_.bucketHashes()}});
    if (isRelay_ && markIfDue(instancesRequestedAt_, now_))
        actions_.emplace_back(ReadInstances {});
}

void FleetAgent::on(const MessageReceived &event)
{
    std::visit([&](const auto &message) { receive(event.from, message); }, event.message);
}

void FleetAgent::on(const LinkBroken &event)
{
    perform(overlay_.handle(Overlay::LinkBroken {event.peer}, now_));
}

void FleetAgent::on(const ListsAnswered &event)
{
    if (!listsWatch_.isCurrent(event.request))
        return;
    perform(relay_.handle(event.lists, now_));
    performWatch(
        Prefix::Lists,
        listsWatch_.handle(PrefixWatch::Answered {event.request, event.lists.revision}, now_));
}

void FleetAgent::on(const NodesAnswered &event)
{
    if (!nodesWatch_.isCurrent(event.request))
        return;
    const std::uint64_t revision = event.records.revision;
    performWatch(Prefix::Nodes,
                 nodesWatch_.handle(PrefixWatch::Answered {event.request, revision}, now_));
    perform(members_.handle(event.records, now_));
}

void FleetAgent::on(const PrefixFailed &event)
{
    PrefixWatch &watch = event.prefix == Prefix::Lists ? listsWatch_ : nodesWatch_;
    // A failed read by a relay counts as a failed probe, so that vote collection starts at once.
    if (event.prefix == Prefix::Lists && watch.isCurrent(event.request) && !event.isRevisionTooOld)
        perform(
            freshness_.handle(FreshnessMonitor::ProbeFinished {false, listsRequestedAt_}, now_));
    performWatch(event.prefix,
                 watch.handle(PrefixWatch::Failed {event.request, event.isRevisionTooOld}, now_));
}

void FleetAgent::on(const StopRequested &)
{
    isStopping_ = true;
    if (members_.isRecorded())
        actions_.emplace_back(MemberView::RemoveRecord {self_, members_.self().version});
}

void FleetAgent::on(const ConfigurationSync::CheckFinished &event)
{
    perform(configuration_.handle(event, now_));
}

void FleetAgent::receive(const core::InstanceId &from, const Heartbeat &message)
{
    perform(overlay_.handle(Overlay::HeartbeatReceived {from, message}, now_));
}

void FleetAgent::receive(const core::InstanceId &from, const HeartbeatReply &message)
{
    perform(overlay_.handle(Overlay::ReplyReceived {from, message}, now_));
}

void FleetAgent::receive(const core::InstanceId &, const MemberEvent &message)
{
    perform(members_.handle(MemberView::EventReceived {message}, now_));
}

void FleetAgent::receive(const core::InstanceId &from, const ConfigFetch &message)
{
    perform(
        configuration_.handle(ConfigurationSync::FetchReceived {from, message.haveVersion}, now_));
}

void FleetAgent::receive(const core::InstanceId &from, const ConfigUpdate &message)
{
    perform(configuration_.handle(ConfigurationSync::UpdateReceived {from, message.update}, now_));
}

void FleetAgent::receive(const core::InstanceId &from, const MemberFetch &message)
{
    if (members_.isComplete())
        send(from, MemberTable {members_.differences(message.bucketHashes)});
}

void FleetAgent::receive(const core::InstanceId &, const MemberTable &message)
{
    perform(members_.handle(MemberView::TableReceived {message.records}, now_));
}

void FleetAgent::receive(const core::InstanceId &from, const ProbeRequest &message)
{
    perform(freshness_.handle(FreshnessMonitor::ProbeRequested {}, now_));
    perform(outageQuorum_.handle(OutageQuorum::ProbeRequestReceived {from, message}, now_));
}

void FleetAgent::receive(const core::InstanceId &from, const ProbeReport &message)
{
    perform(outageQuorum_.handle(OutageQuorum::ReportReceived {from, message}, now_));
}

void FleetAgent::apply(const ConfigurationSync::FetchUpdate &action)
{
    send(action.from, ConfigFetch {action.haveVersion});
}

void FleetAgent::apply(const ConfigurationSync::SendUpdate &action)
{
    send(action.to, ConfigUpdate {action.update});
}

void FleetAgent::apply(const ConfigurationSync::ApplyConfiguration &action)
{
    actions_.emplace_back(action);
    perform(freshness_.handle(FreshnessMonitor::VersionAccepted {action.version}, now_));
}

void FleetAgent::apply(const ConfigurationRelay::AdoptHead &action)
{
    perform(configuration_.handle(ConfigurationSync::HeadAdopted {action.configuration}, now_));
}

void FleetAgent::apply(const ConfigurationRelay::RecordReadProof &action)
{
    perform(freshness_.handle(FreshnessMonitor::ProofReceived {FreshnessProofKind::PlatformRead,
                                                               action.version, action.readAt},
                              now_));
}

void FleetAgent::apply(const MemberView::DisseminateEvent &action)
{
    for (const core::InstanceId &peer : overlay_.pushNeighbours())
        send(peer, action.event);
}

void FleetAgent::apply(const MemberView::MembersChanged &action)
{
    actions_.emplace_back(action);
    perform(overlay_.handle(Overlay::RingChanged {members_.ring(), members_.aliveRing()}, now_));
    perform(outageQuorum_.handle(OutageQuorum::RingChanged {members_.ring(), members_.suspected()},
                                 now_));
    updateRole();
}

void FleetAgent::apply(const Overlay::SendHeartbeat &action)
{
    send(action.to, action.heartbeat);
}

void FleetAgent::apply(const Overlay::SendReply &action)
{
    send(action.to, action.reply);
}

void FleetAgent::apply(const Overlay::PeerResponded &action)
{
    perform(members_.handle(
        MemberView::PeerResponded {action.peer, action.incarnation, action.refutation}, now_));
}

void FleetAgent::apply(const Overlay::PeerUnresponsive &action)
{
    perform(members_.handle(MemberView::PeerUnresponsive {action.peer}, now_));
}

void FleetAgent::apply(const Overlay::PeerProofReceived &action)
{
    perform(freshness_.handle(
        FreshnessMonitor::ProofReceived {action.kind, action.version, action.provenAt}, now_));
}

void FleetAgent::apply(const Overlay::VersionSeen &action)
{
    perform(
        configuration_.handle(ConfigurationSync::VersionSeen {action.from, action.version}, now_));
}

void FleetAgent::apply(const Overlay::PullMembers &action)
{
    send(action.from, MemberFetch {members_.bucketHashes()});
}

void FleetAgent::apply(const OutageQuorum::SendProbeRequest &action)
{
    send(action.to, action.request);
}

void FleetAgent::apply(const OutageQuorum::SendReport &action)
{
    send(action.to, action.report);
}

void FleetAgent::apply(const OutageQuorum::ConfirmOutage &action)
{
    perform(freshness_.handle(FreshnessMonitor::ProofReceived {FreshnessProofKind::ConfirmedOutage,
                                                               action.version, action.provenAt},
                              now_));
}

void FleetAgent::send(const core::InstanceId &to, FleetMessage message)
{
    actions_.emplace_back(SendMessage {to, std::move(message)});
}

void FleetAgent::performWatch(Prefix prefix, const std::vector<PrefixWatch::Action> &actions)
{
    if (prefix == Prefix::Lists && !actions.empty())
        listsRequestedAt_ = now_;
    for (const PrefixWatch::Action &action : actions) {
        if (const auto *read = std::get_if<PrefixWatch::ReadAll>(&action))
            actions_.emplace_back(ReadPrefix {prefix, read->request});
        else if (const auto *wait = std::get_if<PrefixWatch::WaitForChange>(&action))
            actions_.emplace_back(WatchPrefix {prefix, wait->request, wait->after});
    }
}

void FleetAgent::updateRole()
{
    const bool isRelay = members_.isRelay();
    if (std::exchange(isRelay_, isRelay) == isRelay)
        return;
    perform(relay_.handle(ConfigurationRelay::RoleChanged {isRelay}, now_));
    for (const Prefix prefix : {Prefix::Lists, Prefix::Nodes}) {
        PrefixWatch &watch = prefix == Prefix::Lists ? listsWatch_ : nodesWatch_;
        if (isRelay)
            performWatch(prefix, watch.handle(PrefixWatch::Start {}, now_));
        else
            performWatch(prefix, watch.handle(PrefixWatch::Stop {}, now_));
    }
}

void FleetAgent::updateReport()
{
    NodeReport report {members_.self().incarnation, members_.refutation(), configuration_.version(),
                       members_.hash(), freshness_.freshnessProof(now_)};
    const std::optional<core::TimePoint> provenAt =
        report.freshnessProof ? freshness_.provenAt() : std::nullopt;
    NodeReport comparable = report;
    if (comparable.freshnessProof)
        comparable.freshnessProof->age = {};
    if (comparable == lastReport_ && provenAt == lastReportProvenAt_)
        return;
    lastReport_ = comparable;
    lastReportProvenAt_ = provenAt;
    perform(overlay_.handle(Overlay::ReportChanged {report, provenAt}, now_));
}

} // namespace boragerack::decisions
