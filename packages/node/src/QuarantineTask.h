#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/CrashReporter.h"
#include "boragerack/decisions/Quarantine.h"
#include "boragerack/runtime/FiberGroup.h"
#include "boragerack/runtime/Mailbox.h"
#include "boragerack/runtime/ReplyChannel.h"

namespace boragerack::node {

/// Asks whether one of the suspects is refused.
struct CheckSuspects
{
    std::vector<decisions::CrashSuspect> suspects;
    runtime::ReplyChannel<std::optional<core::Error>> reply;
};

/// Targets crashed under attempts of a request of this node.
struct TargetsCrashed
{
    std::vector<decisions::CrashSuspect> suspects;
    std::vector<decisions::CrashedAttempt> crashes;
};

/// A request of this node was answered completely.
struct RequestCompleted
{
    std::vector<decisions::CrashSuspect> suspects;
};

/// Another node counts the crashes that all nodes report.
struct QuarantineOwnerChanged
{
};

struct StopQuarantine
{
};

using QuarantineMessage =
    std::variant<CheckSuspects, TargetsCrashed, RequestCompleted,
                 decisions::quarantine::CrashReport, decisions::quarantine::Completed,
                 decisions::quarantine::Notice, QuarantineOwnerChanged, StopQuarantine>;

/// Sends information about requests that crash their targets to other nodes.
class QuarantineMessenger
{
public:
    QuarantineMessenger() = default;
    QuarantineMessenger(const QuarantineMessenger &) = delete;
    QuarantineMessenger &operator=(const QuarantineMessenger &) = delete;
    virtual ~QuarantineMessenger() = default;

    /// These send to the quarantine owner, which counts the crashes that all nodes report.
    virtual void reportCrash(const decisions::quarantine::CrashReport &report) = 0;
    virtual void reportCompletion(const decisions::quarantine::Completed &report) = 0;
    virtual void reportRefusal(const decisions::quarantine::Notice &notice) = 0;
    /// Sends to all other nodes.
    virtual void announce(const decisions::quarantine::Notice &notice) = 0;
};

/// Owns the refused fingerprints of requests and of parts of prompts on this node.
class QuarantineTask
{
public:
    QuarantineTask(QuarantineMessenger &messenger, const core::Clock &clock);

    void start();
    void stop();
    [[nodiscard]] bool trySend(QuarantineMessage message);

    /// Returns the error for a request with a refused suspect, or nullopt if it may run.
    std::optional<core::Error> check(const std::vector<decisions::CrashSuspect> &suspects,
                                     core::TimePoint deadline);

private:
    void run();
    void on(const CheckSuspects &message);
    void on(const TargetsCrashed &message);
    void on(const RequestCompleted &message);
    void on(const decisions::quarantine::CrashReport &message);
    void on(const decisions::quarantine::Completed &message);
    void on(const decisions::quarantine::Notice &message);
    void on(const QuarantineOwnerChanged &message);
    void on(const StopQuarantine &message);
    void report();
    void announce(const std::vector<decisions::Quarantine::Action> &actions);

    QuarantineMessenger &messenger_;
    const core::Clock &clock_;
    decisions::CrashReporter reporter_;
    decisions::Quarantine quarantine_;
    runtime::Mailbox<QuarantineMessage> mailbox_;
    bool isRunning_ = true;
    runtime::FiberGroup fibers_;
};

} // namespace boragerack::node
