#include "QuarantineTask.h"

#include <utility>

#include "boragerack/runtime/EventLog.h"
#include "boragerack/runtime/ExceptionBoundary.h"

namespace boragerack::node {

namespace {

constexpr std::size_t kMailboxCapacity = 4096;
/// Interval of decisions while there are suspects.
constexpr std::chrono::milliseconds kTick(100);

} // namespace

QuarantineTask::QuarantineTask(QuarantineMessenger &messenger, const core::Clock &clock)
    : messenger_(messenger)
    , clock_(clock)
    , mailbox_(kMailboxCapacity)
{
}

void QuarantineTask::start()
{
    fibers_.start([this] { runtime::runTask("quarantine", [this] { run(); }); });
}

void QuarantineTask::stop()
{
    static_cast<void>(mailbox_.send(StopQuarantine()));
}

bool QuarantineTask::trySend(QuarantineMessage message)
{
    return mailbox_.trySend(std::move(message));
}

std::optional<core::Error>
QuarantineTask::check(const std::vector<decisions::CrashSuspect> &suspects,
                      core::TimePoint deadline)
{
    const CheckSuspects message {suspects, {}};
    if (!trySend(message))
        return core::makeNotRunError(core::ErrorCode::QueueFull, "node is overloaded",
                                     std::chrono::seconds(1));
    const auto answer = message.reply.waitUntil(deadline);
    if (!answer)
        return core::makeNotRunError(core::ErrorCode::DeadlineExceeded, "node is overloaded",
                                     std::chrono::seconds(1));
    return *answer;
}

void QuarantineTask::run()
{
    while (isRunning_) {
        auto message = quarantine_.size() == 0
            ? mailbox_.receive()
            : mailbox_.receiveUntil(std::chrono::steady_clock::now() + kTick);
        if (message)
            std::visit([this](const auto &body) { on(body); }, *message);
        announce(quarantine_.handle(decisions::quarantine::Tick(), clock_.now()));
    }
    mailbox_.close();
}

void QuarantineTask::on(const CheckSuspects &message)
{
    std::optional<core::Error> refusal;
    for (const decisions::CrashSuspect &suspect : message.suspects) {
        if (!refusal)
            refusal = quarantine_.check(suspect.fingerprint, clock_.now());
    }
    message.reply.set(refusal);
}

void QuarantineTask::on(const TargetsCrashed &message)
{
    for (const decisions::CrashedAttempt &crash : message.crashes)
        reporter_.handleCrash(crash, message.suspects, clock_.now());
    report();
}

void QuarantineTask::on(const RequestCompleted &message)
{
    reporter_.handleCompletion(message.suspects, clock_.now());
    report();
}

void QuarantineTask::on(const QuarantineOwnerChanged &)
{
    reporter_.handleSuccessor();
    if (const std::size_t pending = reporter_.pendingCount(); pending > 0)
        runtime::logEvent(runtime::LogEvent::CrashesReportedAgain,
                          "reports=" + std::to_string(pending));
    // The refusals first, since they explain crashes.
    for (const decisions::quarantine::Notice &refusal : quarantine_.refusals(clock_.now()))
        messenger_.reportRefusal(refusal);
    report();
}

void QuarantineTask::report()
{
    const decisions::CrashReports reports = reporter_.takePending(clock_.now());
    for (const decisions::quarantine::Completed &completed : reports.completed)
        messenger_.reportCompletion(completed);
    for (const decisions::quarantine::CrashReport &crash : reports.crashes)
        messenger_.reportCrash(crash);
    // Messages between nodes are not answered. Those to a node that has failed are sent again to
    // its successor.
    reporter_.handleAccepted();
}

void QuarantineTask::on(const decisions::quarantine::CrashReport &message)
{
    announce(quarantine_.handle(message, clock_.now()));
}

void QuarantineTask::on(const decisions::quarantine::Completed &message)
{
    announce(quarantine_.handle(message, clock_.now()));
}

void QuarantineTask::announce(const std::vector<decisions::Quarantine::Action> &actions)
{
    for (const auto &action : actions) {
        const auto &announce = std::get<decisions::quarantine::Announce>(action);
        runtime::logEvent(runtime::LogEvent::RequestQuarantined,
                          decisions::quarantine::describe(announce));
        messenger_.announce({announce.fingerprint, announce.remaining});
    }
}

void QuarantineTask::on(const decisions::quarantine::Notice &message)
{
    quarantine_.handle(message, clock_.now());
}

void QuarantineTask::on(const StopQuarantine &)
{
    isRunning_ = false;
}

} // namespace boragerack::node
