#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Error.h"
#include "boragerack/core/Identifier.h"
#include "boragerack/decisions/AttemptId.h"

namespace boragerack::decisions {

enum class SendPolicy {
    Repeatable, ///< The request can safely run more than once.
    AtMostOnce, ///< Never sent again once a byte may have reached a target.
};

/// Parameters of a request that are fixed before its first attempt.
struct AttemptParameters
{
    std::string request;
    SendPolicy policy = SendPolicy::AtMostOnce;
    /// The target can resume an interrupted answer at an offset.
    bool canResume = false;
    /// The target repeats `X-Attempt` in its answer, so an answer without it belongs to another
    /// request.
    bool echoesAttempt = false;
    /// Time before which the answer must start. It does not cut off an answer in progress.
    core::TimePoint deadline = {};
    std::uint32_t maxAttempts = 3;
    /// A refusal by the target guarantees that the request has not run and never will.
    bool refusalProvesNotRun = false;
    /// Maximum number of refused attempts that do not count towards maxAttempts.
    std::uint32_t maxRefusals = 0;
    /// How long a caller that has received part of the answer waits for it to resume.
    std::chrono::milliseconds resumeWait = std::chrono::seconds(10);

    friend bool operator==(const AttemptParameters &, const AttemptParameters &) = default;
};

namespace attempt {

// Events.

/// A target has been chosen for the next attempt.
struct Dispatch
{
    core::TargetId target;
    friend bool operator==(const Dispatch &, const Dispatch &) = default;
};

/// No target can be chosen.
struct DispatchFailed
{
    core::ErrorCode code = core::ErrorCode::NoReadyReplica;
    std::chrono::milliseconds retryAfter = {};
    friend bool operator==(const DispatchFailed &, const DispatchFailed &) = default;
};

/// The caller disconnected, its key was revoked, or the node stopped serving it.
struct Cancel
{
    core::ErrorCode code = core::ErrorCode::ConnectionFailed;
    friend bool operator==(const Cancel &, const Cancel &) = default;
};

/// The time returned by `nextTimer()` has been reached.
struct TimerFired
{
    friend bool operator==(const TimerFired &, const TimerFired &) = default;
};

struct Connected
{
    AttemptId attempt;
    friend bool operator==(const Connected &, const Connected &) = default;
};

/// The connection could not be opened, was lost, or was closed for inactivity.
struct ConnectionLost
{
    AttemptId attempt;
    bool targetCrashed = false;
    friend bool operator==(const ConnectionLost &, const ConnectionLost &) = default;
};

/// The target rejected the request before starting work on it (an engine's 429 or 503). `echoed` is
/// the attempt that the refusal names, if any.
struct TargetRefused
{
    AttemptId attempt;
    std::optional<AttemptId> echoed;
    friend bool operator==(const TargetRefused &, const TargetRefused &) = default;
};

/// `attempt` is the attempt whose connection carried the answer, `echoed` the attempt that the
/// answer names.
struct AnswerStarted
{
    AttemptId attempt;
    std::optional<AttemptId> echoed;
    friend bool operator==(const AnswerStarted &, const AnswerStarted &) = default;
};

/// `count` units of the answer from `offset`; a unit is a token of a stream, else a byte.
struct AnswerPart
{
    AttemptId attempt;
    std::uint64_t offset = 0;
    std::uint64_t count = 0;
    friend bool operator==(const AnswerPart &, const AnswerPart &) = default;
};

/// The answer is complete; `length` is its total number of units.
struct AnswerCompleted
{
    AttemptId attempt;
    std::uint64_t length = 0;
    friend bool operator==(const AnswerCompleted &, const AnswerCompleted &) = default;
};

using Event = std::variant<Dispatch, DispatchFailed, Cancel, TimerFired, Connected, ConnectionLost,
                           TargetRefused, AnswerStarted, AnswerPart, AnswerCompleted>;

// Actions, to be performed in order.

/// Choose a target for the next attempt and answer with Dispatch or DispatchFailed.
struct ChooseTarget
{
    std::vector<core::TargetId> avoid;
    /// No target has been chosen for the request before. Admission, such as counting the request
    /// and taking its tokens, belongs to this choice only.
    bool isFirst = true;
    /// The request has been sent before, so sending it again is a retry.
    bool isRetry = false;
    friend bool operator==(const ChooseTarget &, const ChooseTarget &) = default;
};

struct OpenConnection
{
    AttemptId attempt;
    core::TargetId target;
    /// The connection must not have carried an earlier answer. A faulty target may send one again
    /// where the next answer is due, and both sends of a request have the same identity.
    bool mustBeNew = false;
    friend bool operator==(const OpenConnection &, const OpenConnection &) = default;
};

/// Send the request; `resumeOffset` is the first unit that the caller has not received.
struct SendRequest
{
    AttemptId attempt;
    core::TargetId target;
    std::uint64_t resumeOffset = 0;
    friend bool operator==(const SendRequest &, const SendRequest &) = default;
};

/// Send the head of the answer to the caller.
struct ForwardHead
{
    AttemptId attempt;
    friend bool operator==(const ForwardHead &, const ForwardHead &) = default;
};

/// Skip the first `skip` units of the part and send the next `count` units to the caller.
struct ForwardPart
{
    AttemptId attempt;
    std::uint64_t skip = 0;
    std::uint64_t count = 0;
    friend bool operator==(const ForwardPart &, const ForwardPart &) = default;
};

/// Ask the target, on another connection, to stop working on the attempt; best effort.
struct CancelOnTarget
{
    AttemptId attempt;
    core::TargetId target;
    friend bool operator==(const CancelOnTarget &, const CancelOnTarget &) = default;
};

struct CloseConnection
{
    AttemptId attempt;
    friend bool operator==(const CloseConnection &, const CloseConnection &) = default;
};

/// Make the connection available for another request.
struct ReleaseConnection
{
    AttemptId attempt;
    friend bool operator==(const ReleaseConnection &, const ReleaseConnection &) = default;
};

/// Discard data received in an answer to an earlier attempt or to another request.
struct DiscardAnswer
{
    AttemptId attempt;
    friend bool operator==(const DiscardAnswer &, const DiscardAnswer &) = default;
};

/// Report the outcome of the request, exactly once. Only DiscardAnswer can follow.
struct Finish
{
    core::Verdict verdict = core::Verdict::NotRun;
    std::optional<core::Error> error;
    /// Number of targets tried, including those to which no connection opened.
    std::uint32_t attempts = 0;
    friend bool operator==(const Finish &, const Finish &) = default;
};

using Action =
    std::variant<ChooseTarget, OpenConnection, SendRequest, ForwardHead, ForwardPart,
                 CancelOnTarget, CloseConnection, ReleaseConnection, DiscardAnswer, Finish>;

} // namespace attempt

} // namespace boragerack::decisions
