#include "ReportTask.h"

#include <algorithm>
#include <string>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "boragerack/core/RendezvousHash.h"
#include "boragerack/decisions/serving/ReportPace.h"
#include "boragerack/decisions/serving/ReportTree.h"
#include "boragerack/runtime/EventLog.h"
#include "boragerack/runtime/ExceptionBoundary.h"
#include "boragerack/runtime/ReplyChannel.h"

namespace boragerack::gateway {

namespace {

/// Each child of a relay has at most one report in flight.
constexpr std::size_t kMailboxCapacity = 256;
/// Timeout of a report to the coordinator; the next report is the retry.
constexpr std::chrono::milliseconds kAnswerTimeout(500);
/// Timeout of a report to a relay, which may itself wait for the coordinator until its timeout.
constexpr std::chrono::milliseconds kRelayTimeout(900);
/// A new coordinator opens a connection to each node that reports directly. The first reports are
/// spread over this time multiplied by the number of these nodes.
constexpr std::chrono::milliseconds kSpreadPerNode(2);
/// Timeout of a report to another node, and minimum time between two of them.
constexpr std::chrono::milliseconds kOtherNodeTimeout(250);
constexpr std::chrono::milliseconds kOtherNodeInterval(500);

/// Passes the answer to the waiting fiber of this process.
class LocalAnswerReceiver final : public AnswerReceiver
{
public:
    void receive(decisions::CoordinationAnswer answer) override { reply.set(std::move(answer)); }

    runtime::ReplyChannel<decisions::CoordinationAnswer> reply;
};

/// Other nodes are tried after a failure, and the next report is the retry.
std::optional<decisions::CoordinationAnswer>
toAnswer(core::Result<decisions::CoordinationAnswer> result)
{
    if (!core::isOk(result))
        return std::nullopt;
    return core::takeValue(std::move(result));
}

bool isFromCoordinator(const std::optional<decisions::CoordinationAnswer> &answer)
{
    return answer
        && (answer->standing == decisions::CoordinatorStanding::Holding
            || answer->standing == decisions::CoordinatorStanding::Lapsed);
}

} // namespace

ReportTask::ReportTask(decisions::FleetMember self, LeaseTask &lease, CoordinatorTask &coordinator,
                       RoutingTask &routing, const ConfigurationTask &configuration,
                       const core::Clock &clock)
    : self_(std::move(self))
    , lease_(lease)
    , coordinator_(coordinator)
    , routing_(routing)
    , configuration_(configuration)
    , clock_(clock)
    , mailbox_(kMailboxCapacity)
    , aggregator_(self_.instance)
{
}

ReportTask::~ReportTask()
{
    shutDown();
}

void ReportTask::shutDown()
{
    stop();
    if (fiber_.joinable())
        fiber_.join();
}

void ReportTask::start()
{
    fiber_ = boost::fibers::fiber([this] { runtime::runTask("reports", [this] { run(); }); });
}

void ReportTask::run()
{
    // After an exception, the reports that were being exchanged are answered as lost.
    answerOwnReport(std::nullopt, false, false);
    answerChildren(std::nullopt);
    while (auto message = mailbox_.receive()) {
        std::visit([this](auto &concrete) { on(concrete); }, *message);
        if (!ownReport_ && childReports_.empty())
            continue;
        collect();
        exchange();
    }
}

void ReportTask::on(OwnReport &message)
{
    ownReport_ = {message.report.known, clock_.now()};
    aggregator_.add(message.report, clock_.now());
}

void ReportTask::on(ReportReceived &message)
{
    // A relay of a relay would delay reports, and two nodes could relay to each other.
    if (relay_ || !message.report.children.empty()) {
        decisions::CoordinationAnswer answer;
        answer.holder = lease_.lease().observation();
        message.receiver->receive(std::move(answer));
        return;
    }
    aggregator_.add(message.report, clock_.now());
    const core::InstanceId child = message.report.member.instance;
    childReports_.insert_or_assign(child, std::move(message));
}

void ReportTask::collect()
{
    while (!childReports_.empty()) {
        const bool isUrgent = ownReport_ || aggregator_.isUrgent();
        const core::TimePoint sendAt =
            sentAt_ + (isUrgent ? decisions::urgentReportGap(reportInterval_) : reportInterval_);
        const core::TimePoint now = clock_.now();
        if (now >= sendAt)
            return;
        auto message = mailbox_.receiveUntil(std::chrono::steady_clock::now() + (sendAt - now));
        if (!message)
            return;
        std::visit([this](auto &concrete) { on(concrete); }, *message);
    }
}

void ReportTask::exchange()
{
    const bool isLocal = lease_.lease().hasTerm();
    const decisions::CoordinationReport report = takeReport();
    Answer answer = sendReport(report, isLocal);
    if (answer)
        apply(*answer, isLocal);
    if (!isFromCoordinator(answer))
        usesSentAt_ = {};
    answerOwnReport(answer, isLocal, report.uses.has_value());
    answerChildren(answer);
    updateNodeCount();
}

decisions::CoordinationReport ReportTask::takeReport()
{
    const core::TimePoint now = clock_.now();
    sentAt_ = now;
    decisions::CoordinationReport report = aggregator_.take(now);
    report.member = self_;
    report.known = state_.versions();
    report.unresponsiveRelay = unresponsiveRelay_;
    // Requests in flight are the largest part of a report. Urgent reports need only the demand.
    if (now - usesSentAt_ < reportInterval_ / 2)
        report.uses.reset();
    else
        usesSentAt_ = now;
    return report;
}

ReportTask::Answer ReportTask::sendReport(const decisions::CoordinationReport &report, bool isLocal)
{
    Answer answer;
    if (isLocal)
        answer = reportLocally(report);
    else if (relay_ && report.children.empty())
        answer = reportToRelay(report);
    else
        answer = reportToCoordinator(report);
    // A coordinator without a valid lease finds its successor through other nodes. Other nodes
    // wait for it, because they all lose the platform at the same time.
    const bool needsOtherNode = !answer
        || answer->standing == decisions::CoordinatorStanding::Absent
        || (isLocal && answer->standing == decisions::CoordinatorStanding::Lapsed);
    if (!needsOtherNode || !configuration_.isPlatformLost())
        return answer;
    Answer other = reportToOtherNode(report);
    return other ? other : answer;
}

ReportTask::Answer ReportTask::reportToRelay(const decisions::CoordinationReport &report)
{
    const decisions::FleetMember relay = *relay_;
    PeerAnswer answer = reportToPeer(relay.instance, relay.peerAddress, report, kRelayTimeout);
    if (core::isOk(answer)
        && core::valueOf(answer).standing != decisions::CoordinatorStanding::Absent)
        return core::takeValue(std::move(answer));
    runtime::logEvent(
        runtime::LogEvent::RelayLost,
        "relay=" + relay.instance.value + " error=\""
            + (core::isOk(answer) ? "the node does not relay" : core::errorOf(answer).message)
            + "\"");
    setRelay(std::nullopt);
    unresponsiveRelay_ = relay.instance;
    decisions::CoordinationReport direct = report;
    direct.unresponsiveRelay = unresponsiveRelay_;
    return reportToCoordinator(direct);
}

ReportTask::Answer ReportTask::reportToCoordinator(const decisions::CoordinationReport &report)
{
    const auto &holder = lease_.lease().holder();
    if (!holder || holder->isReleased || holder->holder == self_.instance)
        return std::nullopt;
    const decisions::LeaseRecord known = *holder;
    delayFirstReport(known);
    return toAnswer(reportToPeer(known.holder, known.peerAddress, report, kAnswerTimeout));
}

void ReportTask::delayFirstReport(const decisions::LeaseRecord &holder)
{
    if (std::exchange(lastHolderIncarnation_, holder.incarnation) == holder.incarnation)
        return;
    // Relays are few and need not wait for the nodes that have no relay.
    const std::size_t senders = aggregator_.childCount() > 0
        ? std::min<std::size_t>(lease_.lease().peakNodeCount(), decisions::ReportTree::kMaxFanOut)
        : lease_.lease().peakNodeCount();
    boost::this_fiber::sleep_for(core::staggerOf(
        self_.instance, kSpreadPerNode * static_cast<int>(senders), holder.incarnation));
}

ReportTask::PeerAnswer ReportTask::reportToPeer(const core::InstanceId &instance,
                                                const std::string &address,
                                                const decisions::CoordinationReport &report,
                                                std::chrono::milliseconds timeout)
{
    if (!network_)
        return core::makeNotRunError(core::ErrorCode::PlatformUnavailable,
                                     "the fleet secret has not been read");
    network_->updatePeer(instance, address);
    auto answer = network_->call(instance, report, std::chrono::steady_clock::now() + timeout);
    if (!core::isOk(answer))
        return core::errorOf(answer);
    const peer::MessageBody &body = core::valueOf(answer).body;
    if (const auto *coordination = std::get_if<decisions::CoordinationAnswer>(&body))
        return *coordination;
    if (const auto *error = std::get_if<core::Error>(&body))
        return *error;
    return core::makeNotRunError(core::ErrorCode::ProtocolViolation,
                                 "the reply to a report is no coordination answer");
}

std::optional<decisions::FleetMember> ReportTask::nextMember()
{
    const auto fleet = routing_.fleet().get();
    const auto &holder = lease_.lease().holder();
    for (std::size_t i = 0; i < fleet->members.size(); ++i) {
        const decisions::FleetMember &member =
            fleet->members[nextMemberIndex_++ % fleet->members.size()];
        if (member.instance != self_.instance && !(holder && member.instance == holder->holder))
            return member;
    }
    return std::nullopt;
}

ReportTask::Answer ReportTask::reportToOtherNode(const decisions::CoordinationReport &report)
{
    const core::TimePoint now = clock_.now();
    if (now - otherNodeAskedAt_ < kOtherNodeInterval)
        return std::nullopt;
    otherNodeAskedAt_ = now;
    const auto member = nextMember();
    if (!member)
        return std::nullopt;
    Answer answer =
        toAnswer(reportToPeer(member->instance, member->peerAddress, report, kOtherNodeTimeout));
    if (answer && answer->holder && !lease_.trySend(LeaseTask::HolderReported {*answer->holder}))
        runtime::logEvent(runtime::LogEvent::MessageDropped, "message=holder_reported");
    if (!answer || answer->standing != decisions::CoordinatorStanding::Holding)
        return std::nullopt;
    return answer;
}

ReportTask::Answer ReportTask::reportLocally(const decisions::CoordinationReport &report)
{
    auto receiver = std::make_shared<LocalAnswerReceiver>();
    if (!coordinator_.trySend(ReportReceived {report, receiver}))
        return std::nullopt;
    return receiver->reply.waitUntil(std::chrono::steady_clock::now() + kAnswerTimeout);
}

void ReportTask::apply(decisions::CoordinationAnswer &answer, bool isLocal)
{
    if (!isLocal && answer.holder && relay_
        && !lease_.trySend(LeaseTask::HolderReported {*answer.holder}))
        runtime::logEvent(runtime::LogEvent::MessageDropped, "message=holder_reported");
    if (answer.standing == decisions::CoordinatorStanding::Absent
        || answer.standing == decisions::CoordinatorStanding::Unreachable)
        return;
    if (!isLocal)
        forwardLeaseObservation(answer);
    if (answer.relay)
        setRelay(answer.relay);
    else
        unresponsiveRelay_ = {};
    applyState(answer);
    reportInterval_ = answer.reportAfter;
}

void ReportTask::applyState(decisions::CoordinationAnswer &answer)
{
    if (!answer.change)
        return;
    if (state_.apply(*answer.change)) {
        if (answer.loads)
            state_.apply(*answer.loads);
        return;
    }
    runtime::logEvent(runtime::LogEvent::FleetUpdateIgnored,
                      "term=" + std::to_string(answer.change->term)
                          + " since_placements=" + std::to_string(answer.change->placements.since)
                          + " known_placements=" + std::to_string(state_.versions().placements));
    answer.change.reset();
    answer.loads.reset();
}

void ReportTask::setRelay(const std::optional<decisions::FleetMember> &relay)
{
    if (relay_ == relay)
        return;
    if (relay) {
        runtime::logEvent(runtime::LogEvent::RelayAssigned, "relay=" + relay->instance.value);
        // The coordinator keeps connections only to the nodes that report to it.
        if (const auto &holder = lease_.lease().holder(); holder && network_)
            network_->removePeer(holder->holder);
    } else if (network_) {
        network_->removePeer(relay_->instance);
    }
    relay_ = relay;
}

void ReportTask::forwardLeaseObservation(const decisions::CoordinationAnswer &answer)
{
    // The age is relative to when the coordinator sent the answer, which is before now.
    const LeaseTask::CoordinatorAnswered observation {
        answer.standing == decisions::CoordinatorStanding::Holding, answer.lease.incarnation,
        answer.lease.renewal, clock_.now() - answer.lease.age};
    if (!lease_.trySend(observation))
        runtime::logEvent(runtime::LogEvent::MessageDropped, "message=coordinator_answered");
}

void ReportTask::updateNodeCount()
{
    const auto nodes = static_cast<std::uint32_t>(state_.memberCount());
    const bool isRelay = aggregator_.childCount() > 0;
    if ((nodes > lease_.lease().peakNodeCount() || isRelay != lease_.lease().isRelay())
        && !lease_.trySend(LeaseTask::NodesCounted {nodes, isRelay}))
        runtime::logEvent(runtime::LogEvent::MessageDropped, "message=nodes_counted");
}

void ReportTask::answerOwnReport(const Answer &answer, bool isLocal, bool hadUses)
{
    if (!ownReport_)
        return;
    const SentOwnReport sent = *std::exchange(ownReport_, std::nullopt);
    // The routing task sends no further report before it has the answer, so the answer must not be
    // dropped. That task never waits for this one.
    if (!routing_.send(ReportAnswered {answer, state_.updateSince(sent.known), sent.at, isLocal,
                                       lease_.lease().peakNodeCount(), hadUses}))
        runtime::logEvent(runtime::LogEvent::MessageDropped, "message=report_answered");
}

void ReportTask::answerChildren(const Answer &answer)
{
    for (const auto &[child, received] : std::exchange(childReports_, {}))
        received.receiver->receive(makeChildAnswer(received.report, answer));
}

decisions::CoordinationAnswer
ReportTask::makeChildAnswer(const decisions::CoordinationReport &report, const Answer &answer) const
{
    decisions::CoordinationAnswer result;
    result.standing = decisions::CoordinatorStanding::Unreachable;
    result.holder = lease_.lease().observation();
    if (!isFromCoordinator(answer))
        return result;
    result.standing = answer->standing;
    if (answer->holder)
        result.holder = answer->holder;
    if (answer->change) {
        result.change = state_.changesSince(report.known);
        result.loads = state_.loads();
    }
    result.platformReadStatus = answer->platformReadStatus;
    result.lease = answer->lease;
    result.quarantined = answer->quarantined;
    result.reportAfter = decisions::reportInterval(aggregator_.childCount());
    const auto grant = std::ranges::find(answer->childGrants, report.member.instance,
                                         &decisions::ChildGrant::instance);
    if (grant != answer->childGrants.end()) {
        result.granted = grant->granted;
        result.permits = grant->permits;
    }
    const RouteTablePointer table = configuration_.table();
    if (report.isPlatformLost && table
        && report.configurationVersion < table->configuration().version)
        result.configuration = configuration_.text();
    return result;
}

} // namespace boragerack::gateway
