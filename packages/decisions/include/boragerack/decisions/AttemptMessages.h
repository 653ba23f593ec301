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
    Repeatable, ///< Running the request twice does no harm.
    AtMostOnce, ///< Never sent again once a byte may have reached a target.
};

/// What is fixed about a request before its first attempt.
struct AttemptParameters
{
    std::string request;
    SendPolicy policy = SendPolicy::AtMostOnce;
    /// The target can continue a broken answer at an offset.
    bool canResume = false;
    /// The target repeats `X-Attempt` in its answer, so an answer without it is not ours.
    bool echoesAttempt = false;
    /// The answer must start before it; an answer that makes progress is not cut by it.
    core::TimePoint deadline = {};
    std::uint32_t maxAttempts = 3;
    /// A target's refusal states that the request has not run and never will.
    bool refusalProvesNotRun = false;
    /// Attempts that were refused and do not count as attempts.
    std::uint32_t maxRefusals = 0;
    /// How long a caller that already has a part of the answer waits for the rest.
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

/// The caller has gone, its key was withdrawn, or the node stops serving it.
struct Cancel
{
    core::ErrorCode code = core::ErrorCode::ConnectionFailed;
    friend bool operator==(const Cancel &, const Cancel &) = default;
};

/// The time of `nextTimer()` has come.
struct TimerFired
{
    friend bool operator==(const TimerFired &, const TimerFired &) = default;
};

struct Connected
{
    AttemptId attempt;
    friend bool operator==(const Connected &, const Connected &) = default;
};

/// The connection could not be opened, broke, or was given up as silent.
struct ConnectionLost
{
    AttemptId attempt;
    bool targetCrashed = false;
    friend bool operator==(const ConnectionLost &, const ConnectionLost &) = default;
};

/// The target declined the request before any work (an engine's 429 or 503).
struct TargetRefused
{
    AttemptId attempt;
    friend bool operator==(const TargetRefused &, const TargetRefused &) = default;
};

/// `attempt` is the attempt whose connection carried the answer, `echoed` what the answer says.
struct AnswerStarted
{
    AttemptId attempt;
    std::optional<AttemptId> echoed;
    friend bool operator==(const AnswerStarted &, const AnswerStarted &) = default;
};

/// Units (tokens of a stream, else bytes) offset .. offset + count of the answer.
struct AnswerPart
{
    AttemptId attempt;
    std::uint64_t offset = 0;
    std::uint64_t count = 0;
    friend bool operator==(const AnswerPart &, const AnswerPart &) = default;
};

/// The answer has ended properly; `length` counts all its units from the start.
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
    friend bool operator==(const ChooseTarget &, const ChooseTarget &) = default;
};

struct OpenConnection
{
    AttemptId attempt;
    core::TargetId target;
    friend bool operator==(const OpenConnection &, const OpenConnection &) = default;
};

/// Send the request; `resumeOffset` is the first unit the caller lacks.
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

/// Send `count` units to the caller after leaving out the first `skip` of the part.
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

/// The connection may serve another request.
struct ReleaseConnection
{
    AttemptId attempt;
    friend bool operator==(const ReleaseConnection &, const ReleaseConnection &) = default;
};

/// An answer of an earlier attempt or another request arrived; drop what it carries.
struct DiscardAnswer
{
    AttemptId attempt;
    friend bool operator==(const DiscardAnswer &, const DiscardAnswer &) = default;
};

/// The only outcome of the request; nothing but discarding follows.
struct Finish
{
    core::Verdict verdict = core::Verdict::NotRun;
    std::optional<core::Error> error;
    /// Number of targets tried, including those that could not be connected.
    std::uint32_t attempts = 0;
    friend bool operator==(const Finish &, const Finish &) = default;
};

using Action =
    std::variant<ChooseTarget, OpenConnection, SendRequest, ForwardHead, ForwardPart,
                 CancelOnTarget, CloseConnection, ReleaseConnection, DiscardAnswer, Finish>;

} // namespace attempt

} // namespace boragerack::decisions
