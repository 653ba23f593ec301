#include "QuarantineTask.h"

#include <utility>

#include "boragerack/runtime/EventLog.h"

namespace boragerack::node {

namespace {

constexpr std::size_t kMailboxCapacity = 4096;

} // namespace

QuarantineTask::QuarantineTask(QuarantineMessenger &messenger, const core::Clock &clock)
    : messenger_(messenger)
    , clock_(clock)
    , mailbox_(kMailboxCapacity)
{
}

void QuarantineTask::start()
{
    fibers_.start([this] { run(); });
}

void QuarantineTask::stop()
{
    static_cast<void>(mailbox_.send(StopQuarantine()));
}

bool QuarantineTask::trySend(QuarantineMessage message)
{
    return mailbox_.trySend(std::move(message));
}

std::optional<core::Error> QuarantineTask::check(const core::Digest &fingerprint,
                                                 core::TimePoint deadline)
{
    const CheckFingerprint message {fingerprint, {}};
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
        if (auto message = mailbox_.receive())
            std::visit([this](const auto &body) { on(body); }, *message);
    }
    mailbox_.close();
}

void QuarantineTask::on(const CheckFingerprint &message)
{
    message.reply.set(quarantine_.check(message.fingerprint, clock_.now()));
}

void QuarantineTask::on(const decisions::quarantine::CrashReport &message)
{
    for (const auto &action : quarantine_.handle(message, clock_.now())) {
        const auto &announce = std::get<decisions::quarantine::Announce>(action);
        runtime::logEvent(runtime::LogEvent::RequestQuarantined,
                          "fingerprint " + core::toHex(announce.fingerprint));
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
