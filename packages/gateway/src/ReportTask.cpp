#include "ReportTask.h"

#include "boragerack/runtime/EventLog.h"
#include "boragerack/runtime/Reply.h"

namespace boragerack::gateway {

namespace {

/// One report is under way at a time.
constexpr std::size_t kMailboxCapacity = 2;
/// A coordinator that does not answer within this time is asked again with the next report.
constexpr std::chrono::milliseconds kAnswerTimeout(500);

/// Hands the answer to a fiber of this process.
class LocalReceiver final : public AnswerReceiver
{
public:
    void receive(decisions::CoordinationAnswer answer) override { reply.set(std::move(answer)); }

    runtime::Reply<decisions::CoordinationAnswer> reply;
};

} // namespace

ReportTask::ReportTask(LeaseTask &lease, CoordinatorTask &coordinator, RoutingTask &routing,
                       const core::Clock &clock)
    : lease_(lease)
    , coordinator_(coordinator)
    , routing_(routing)
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
        const bool isLocal = lease_.lease().hasTerm();
        const auto answer = ask(std::move(*report));
        if (answer && answer->standing != decisions::CoordinatorStanding::Absent && !isLocal)
            noteHolder(*answer);
        if (!routing_.trySend(ReportAnswered {answer, reportedAt, isLocal}))
            runtime::logEvent(runtime::LogEvent::MessageDropped, "message=report_answered");
    }
}

void ReportTask::noteHolder(const decisions::CoordinationAnswer &answer)
{
    // The age counts from the answer, which was sent before now.
    const LeaseTask::Heard heard {answer.standing == decisions::CoordinatorStanding::Holding,
                                  answer.lease.incarnation, answer.lease.renewal,
                                  clock_.now() - answer.lease.age};
    if (!lease_.trySend(heard))
        runtime::logEvent(runtime::LogEvent::MessageDropped, "message=coordinator_heard");
}

std::optional<decisions::CoordinationAnswer> ReportTask::ask(decisions::CoordinationReport report)
{
    if (lease_.lease().hasTerm())
        return askHere(std::move(report));
    const auto &holder = lease_.lease().holder();
    if (!holder || holder->isReleased || !network_ || holder->holder == report.member.instance)
        return std::nullopt;
    network_->updatePeer(holder->holder, holder->peerAddress);
    auto answer = network_->call(holder->holder, std::move(report),
                                 std::chrono::steady_clock::now() + kAnswerTimeout);
    if (!core::isOk(answer))
        return std::nullopt;
    if (const auto *body = std::get_if<decisions::CoordinationAnswer>(&core::valueOf(answer).body))
        return *body;
    return std::nullopt;
}

std::optional<decisions::CoordinationAnswer>
ReportTask::askHere(decisions::CoordinationReport report)
{
    auto receiver = std::make_shared<LocalReceiver>();
    if (!coordinator_.trySend(ReportReceived {std::move(report), receiver}))
        return std::nullopt;
    return receiver->reply.waitUntil(std::chrono::steady_clock::now() + kAnswerTimeout);
}

} // namespace boragerack::gateway
