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

/// Way to the other nodes for what the fleet must know of a request that crashes its targets.
class QuarantineMessenger
{
public:
    QuarantineMessenger() = default;
    QuarantineMessenger(const QuarantineMessenger &) = delete;
    QuarantineMessenger &operator=(const QuarantineMessenger &) = delete;
    virtual ~QuarantineMessenger() = default;

    /// Takes a report to the node that counts the deaths under its fingerprint.
    virtual void reportCrash(const decisions::quarantine::CrashReport &report) = 0;
    virtual void announce(const decisions::quarantine::Notice &notice) = 0;
};

/// Owns the quarantine of this node.
class QuarantineTask
{
public:
    QuarantineTask(QuarantineMessenger &link, const core::Clock &clock);

    void start();
    void stop();
    [[nodiscard]] bool trySend(QuarantineMessage message);

    /// The refusal of a request with the fingerprint; nothing if it may run.
    std::optional<core::Error> check(const core::Digest &fingerprint, core::TimePoint deadline);

private:
    void run();
    void on(const CheckFingerprint &message);
    void on(const decisions::quarantine::CrashReport &message);
    void on(const decisions::quarantine::Notice &message);
    void on(const StopQuarantine &message);

    QuarantineMessenger &link_;
    const core::Clock &clock_;
    decisions::Quarantine quarantine_;
    runtime::Mailbox<QuarantineMessage> mailbox_;
    bool isRunning_ = true;
    runtime::FiberGroup fibers_;
};

} // namespace boragerack::node
