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
    /// Time without a byte from a target with unanswered requests before it is probed.
    std::chrono::milliseconds inactivity = std::chrono::seconds(2);
    /// The same limit when the target reports work on a request whose answer has not started;
    /// a large prompt can take this long.
    std::chrono::milliseconds inactivityWhileWorking = std::chrono::seconds(10);
    std::chrono::milliseconds probe = std::chrono::seconds(1);
    /// Delay between a probe that was lost and the next one.
    std::chrono::milliseconds probeRepeat = std::chrono::milliseconds(20);
    /// A connection idle for longer is closed, because it may have failed without notice.
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

/// The attempt is assigned to the connection, possibly before the connection is open.
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

/// The attempt has received its answer or no longer needs one.
struct RequestFinished
{
    AttemptId attempt;
    friend bool operator==(const RequestFinished &, const RequestFinished &) = default;
};

/// The connection was reset or closed unexpectedly.
struct Lost
{
    friend bool operator==(const Lost &, const Lost &) = default;
};

/// `isWorking`: the target's report counts a request that may be one of this connection's, and no
/// answer has started.
struct ProbeAnswered
{
    bool isWorking = false;
    friend bool operator==(const ProbeAnswered &, const ProbeAnswered &) = default;
};

/// The target refused the probe connection: nothing listens at its address any more.
struct ProbeRefused
{
    friend bool operator==(const ProbeRefused &, const ProbeRefused &) = default;
};

/// The probe connection was opened and lost before a byte arrived. A process that ends can close
/// its connections before its listening socket, so this shows neither that it works nor that it
/// ended.
struct ProbeLost
{
    friend bool operator==(const ProbeLost &, const ProbeLost &) = default;
};

/// The time returned by `nextTimer()` has been reached.
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
                           ProbeAnswered, ProbeRefused, ProbeLost, TimerFired, Close>;

// Actions.

/// Open a second connection to the target and request its report.
struct OpenProbe
{
    friend bool operator==(const OpenProbe &, const OpenProbe &) = default;
};

struct CancelProbe
{
    friend bool operator==(const CancelProbe &, const CancelProbe &) = default;
};

/// Replace this connection with that of the probe.
struct AdoptProbe
{
    friend bool operator==(const AdoptProbe &, const AdoptProbe &) = default;
};

struct CloseConnection
{
    friend bool operator==(const CloseConnection &, const CloseConnection &) = default;
};

/// Report the loss of the connection to the attempt.
struct FailRequest
{
    AttemptId attempt;
    bool targetCrashed = false;
    friend bool operator==(const FailRequest &, const FailRequest &) = default;
};

/// The target answers neither on this connection nor on a new one.
struct ReportUnreachableTarget
{
    friend bool operator==(const ReportUnreachableTarget &,
                           const ReportUnreachableTarget &) = default;
};

/// The target terminated while it was processing these attempts.
struct ReportTargetCrash
{
    std::vector<AttemptId> attempts;
    friend bool operator==(const ReportTargetCrash &, const ReportTargetCrash &) = default;
};

using Action = std::variant<OpenProbe, CancelProbe, AdoptProbe, CloseConnection, FailRequest,
                            ReportUnreachableTarget, ReportTargetCrash>;

} // namespace connection

} // namespace boragerack::decisions
