#pragma once

#include <optional>
#include <variant>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/Quarantine.h"
#include "boragerack/runtime/FiberGroup.h"
#include "boragerack/runtime/Mailbox.h"
#include "boragerack/runtime/ReplyChannel.h"

namespace boragerack::node {

struct CheckFingerprint
{
    core::Digest fingerprint;
    runtime::ReplyChannel<std::optional<core::Error>> reply;
};

struct StopQuarantine
{
};

using QuarantineMessage = std::variant<CheckFingerprint, decisions::quarantine::CrashReport,
                                       decisions::quarantine::Notice, StopQuarantine>;

/// Sends information about requests that crash their targets to other nodes.
class QuarantineMessenger
{
public:
    QuarantineMessenger() = default;
    QuarantineMessenger(const QuarantineMessenger &) = delete;
    QuarantineMessenger &operator=(const QuarantineMessenger &) = delete;
    virtual ~QuarantineMessenger() = default;

    /// Sends a report to the node that counts the crashes of its fingerprint.
    virtual void reportCrash(const decisions::quarantine::CrashReport &report) = 0;
    virtual void announce(const decisions::quarantine::Notice &notice) = 0;
};

/// Owns the list of quarantined request fingerprints of this node.
class QuarantineTask
{
public:
    QuarantineTask(QuarantineMessenger &messenger, const core::Clock &clock);

    void start();
    void stop();
    [[nodiscard]] bool trySend(QuarantineMessage message);

    /// Returns the error for a request with a quarantined fingerprint, or nullopt if it may run.
    std::optional<core::Error> check(const core::Digest &fingerprint, core::TimePoint deadline);

private:
    void run();
    void on(const CheckFingerprint &message);
    void on(const decisions::quarantine::CrashReport &message);
    void on(const decisions::quarantine::Notice &message);
    void on(const StopQuarantine &message);

    QuarantineMessenger &messenger_;
    const core::Clock &clock_;
    decisions::Quarantine quarantine_;
    runtime::Mailbox<QuarantineMessage> mailbox_;
    bool isRunning_ = true;
    runtime::FiberGroup fibers_;
};

} // namespace boragerack::node
