#pragma once

#include <chrono>
#include <variant>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Identifier.h"
#include "boragerack/decisions/AttemptId.h"

namespace boragerack::decisions {

struct ConnectionLimits
{
    std::chrono::milliseconds connect = std::chrono::seconds(1);
    /// Time without a byte from a target that owes an answer before it is probed.
    std::chrono::milliseconds inactivity = std::chrono::seconds(2);
    /// The same when the target says that it works on a request whose answer has not started;
    /// a large prompt can take this long.
    std::chrono::milliseconds inactivityWhileWorking = std::chrono::seconds(10);
    std::chrono::milliseconds probe = std::chrono::seconds(1);
    /// A connection that was unused for longer is closed: it may have gone silent unnoticed.
    std::chrono::milliseconds idle = std::chrono::seconds(30);

    friend bool operator==(const ConnectionLimits &, const ConnectionLimits &) = default;
};

namespace connection {

// Events.

struct Opened
{
    friend bool operator==(const Opened &, const Opened &) = default;
};

/// The connection could not be opened.
struct ConnectFailed
{
    friend bool operator==(const ConnectFailed &, const ConnectFailed &) = default;
};

/// The connection is to carry this attempt; possible before it is open.
struct Assigned
{
    AttemptId attempt;
    friend bool operator==(const Assigned &, const Assigned &) = default;
};

/// Bytes arrived from the target.
struct Progress
{
    friend bool operator==(const Progress &, const Progress &) = default;
};

/// The attempt has its answer, or no longer wants one.
struct RequestFinished
{
    AttemptId attempt;
    friend bool operator==(const RequestFinished &, const RequestFinished &) = default;
};

/// The connection was reset or ended early.
struct Lost
{
    friend bool operator==(const Lost &, const Lost &) = default;
};

/// `isWorking`: the target's report counts a request that may be ours, and no answer has started.
struct ProbeAnswered
{
    bool isWorking = false;
    friend bool operator==(const ProbeAnswered &, const ProbeAnswered &) = default;
};

/// Nothing listens at the target's address any more.
struct ProbeRefused
{
    friend bool operator==(const ProbeRefused &, const ProbeRefused &) = default;
};

/// The time of `nextTimer()` has come.
struct TimerFired
{
    friend bool operator==(const TimerFired &, const TimerFired &) = default;
};

/// An attempt or the node closes the connection.
struct Close
{
    friend bool operator==(const Close &, const Close &) = default;
};

using Event = std::variant<Opened, ConnectFailed, Assigned, Progress, RequestFinished, Lost,
                           ProbeAnswered, ProbeRefused, TimerFired, Close>;

// Actions.

/// Open a second connection to the target and ask for its report.
struct OpenProbe
{
    friend bool operator==(const OpenProbe &, const OpenProbe &) = default;
};

struct CancelProbe
{
    friend bool operator==(const CancelProbe &, const CancelProbe &) = default;
};

/// The probe's connection takes the place of this one.
struct AdoptProbe
{
    friend bool operator==(const AdoptProbe &, const AdoptProbe &) = default;
};

struct CloseConnection
{
    friend bool operator==(const CloseConnection &, const CloseConnection &) = default;
};

/// Tell the attempt that its connection is lost.
struct FailRequest
{
    AttemptId attempt;
    bool targetCrashed = false;
    friend bool operator==(const FailRequest &, const FailRequest &) = default;
};

/// Neither this connection nor a new one gets an answer.
struct ReportUnreachableTarget
{
    friend bool operator==(const ReportUnreachableTarget &,
                           const ReportUnreachableTarget &) = default;
};

/// The target ended while it had these attempts.
struct ReportTargetCrash
{
    std::vector<AttemptId> attempts;
    friend bool operator==(const ReportTargetCrash &, const ReportTargetCrash &) = default;
};

using Action = std::variant<OpenProbe, CancelProbe, AdoptProbe, CloseConnection, FailRequest,
                            ReportUnreachableTarget, ReportTargetCrash>;

} // namespace connection

} // namespace boragerack::decisions
