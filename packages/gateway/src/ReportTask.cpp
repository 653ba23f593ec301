#include "ReportTask.h"

#include <algorithm>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "boragerack/core/RendezvousHash.h"
#include "boragerack/decisions/serving/FleetSize.h"
#include "boragerack/runtime/EventLog.h"
#include "boragerack/runtime/ReplyChannel.h"

namespace boragerack::gateway {

namespace {

/// At most one report is in flight at a time.
constexpr std::size_t kMailboxCapacity = 2;
/// Timeout of a report to the coordinator; the next report is the retry.
constexpr std::chrono::milliseconds kAnswerTimeout(500);
/// A new coordinator opens a connection to each node and answers its first report in full. The
/// first reports of a large fleet are spread over this time multiplied by the number of nodes.
constexpr std::chrono::milliseconds kSpreadPerNode(24);
/// Timeout of a report to another node, which either answers immediately or is unreachable.
constexpr std::chrono::milliseconds kOtherNodeTimeout(250);

/// Passes the answer to the waiting fiber of this process.
class LocalAnswerReceiver final : public AnswerReceiver
{
public:
    void receive(decisions::CoordinationAnswer answer) override { reply.set(std::move(answer)); }

    runtime::ReplyChannel<decisions::CoordinationAnswer> reply;
};

} // namespace

ReportTask::ReportTask(LeaseTask &lease, CoordinatorTask &coordinator, RoutingTask &routing,
                       const ConfigurationTask &configuration, const core::Clock &clock)
    : lease_(lease)
    , coordinator_(coordinator)
    , routing_(routing)
    , configuration_(configuration)
    , clock_(clock)
    , mailbox_(kMailboxCapacity)
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
    fiber_ = boost::fibers::fiber([this] { run(); });
}

void ReportTask::send(decisions::CoordinationReport report)
{
    if (!mailbox_.trySend(std::move(report)))
        runtime::logEvent(runtime::LogEvent::MessageDropped, "message=report");
}

void ReportTask::run()
{
    while (auto report = mailbox_.receive()) {
        const core::TimePoint reportedAt = clock_.now();
        bool isLocal = lease_.lease().hasTerm();
        auto answer = reportToCoordinator(*report);
        const bool isHeld = answer && answer->standing == decisions::CoordinatorStanding::Holding;
        if (!isHeld && configuration_.isPlatformLost()) {
            if (auto other = reportToOtherNode(*report)) {
                answer = std::move(other);
                isLocal = false;
            }
        }
        if (answer && answer->standing != decisions::CoordinatorStanding::Absent && !isLocal)
            forwardLeaseObservation(*answer);
        updatePeakNodeCount();
        if (!routing_.trySend(
                ReportAnswered {answer, reportedAt, isLocal, lease_.lease().peakNodeCount()}))
            runtime::logEvent(runtime::LogEvent::MessageDropped, "message=report_answered");
    }
}

void ReportTask::updatePeakNodeCount()
{
    const auto nodes = static_cast<std::uint32_t>(routing_.fleet().get()->members.size());
    if (nodes > lease_.lease().peakNodeCount() && !lease_.trySend(LeaseTask::NodesCounted {nodes}))
        runtime::logEvent(runtime::LogEvent::MessageDropped, "message=nodes_counted");
}

void ReportTask::forwardLeaseObservation(const decisions::CoordinationAnswer &answer)
{
    // The age is relative to when the answer was sent, which is before now.
    const LeaseTask::CoordinatorAnswered observation {
        answer.standing == decisions::CoordinatorStanding::Holding, answer.lease.incarnation,
        answer.lease.renewal, clock_.now() - answer.lease.age};
    if (!lease_.trySend(observation))
        runtime::logEvent(runtime::LogEvent::MessageDropped, "message=coordinator_answered");
}

std::optional<decisions::CoordinationAnswer>
ReportTask::reportToCoordinator(const decisions::CoordinationReport &report)
{
    if (lease_.lease().hasTerm())
        return reportLocally(report);
    const auto &holder = lease_.lease().holder();
    if (!holder || holder->isReleased || holder->holder == report.member.instance)
        return std::nullopt;
    const decisions::LeaseRecord known = *holder;
    delayFirstReport(known, report.member.instance);
    return reportToPeer(known.holder, known.peerAddress, report, kAnswerTimeout);
}

void ReportTask::delayFirstReport(const decisions::LeaseRecord &holder,
                                  const core::InstanceId &self)
{
    if (std::exchange(lastHolderIncarnation_, holder.incarnation) == holder.incarnation)
        return;
    const std::size_t nodes = routing_.fleet().get()->members.size();
    if (!decisions::isLargeFleet(nodes))
        return;
    boost::this_fiber::sleep_for(
        core::staggerOf(self, kSpreadPerNode * static_cast<int>(nodes), holder.incarnation));
}

std::optional<decisions::CoordinationAnswer>
ReportTask::reportToPeer(const core::InstanceId &instance, const std::string &address,
                         const decisions::CoordinationReport &report,
                         std::chrono::milliseconds timeout)
{
    if (!network_)
        return std::nullopt;
    network_->updatePeer(instance, address);
    auto answer = network_->call(instance, report, std::chrono::steady_clock::now() + timeout);
    if (!core::isOk(answer))
        return std::nullopt;
    if (const auto *body = std::get_if<decisions::CoordinationAnswer>(&core::valueOf(answer).body))
        return *body;
    return std::nullopt;
}

std::optional<decisions::FleetMember> ReportTask::nextMember(const core::InstanceId &self)
{
    const auto fleet = routing_.fleet().get();
    const auto &holder = lease_.lease().holder();
    for (std::size_t i = 0; i < fleet->members.size(); ++i) {
        const decisions::FleetMember &member =
            fleet->members[nextMemberIndex_++ % fleet->members.size()];
        if (member.instance != self && !(holder && member.instance == holder->holder))
            return member;
    }
    return std::nullopt;
}

std::optional<decisions::CoordinationAnswer>
ReportTask::reportToOtherNode(const decisions::CoordinationReport &report)
{
    const auto member = nextMember(report.member.instance);
    if (!member)
        return std::nullopt;
    auto answer = reportToPeer(member->instance, member->peerAddress, report, kOtherNodeTimeout);
    if (!answer)
        return std::nullopt;
    if (answer->holder && !lease_.trySend(LeaseTask::HolderReported {std::move(*answer->holder)}))
        runtime::logEvent(runtime::LogEvent::MessageDropped, "message=holder_reported");
    if (answer->standing != decisions::CoordinatorStanding::Holding)
        return std::nullopt;
    return answer;
}

std::optional<decisions::CoordinationAnswer>
ReportTask::reportLocally(const decisions::CoordinationReport &report)
{
    auto receiver = std::make_shared<LocalAnswerReceiver>();
    if (!coordinator_.trySend(ReportReceived {report, receiver}))
        return std::nullopt;
    return receiver->reply.waitUntil(std::chrono::steady_clock::now() + kAnswerTimeout);
}

} // namespace boragerack::gateway
