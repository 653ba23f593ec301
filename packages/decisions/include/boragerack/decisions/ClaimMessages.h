#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Error.h"
#include "boragerack/decisions/ClaimRecord.h"

namespace boragerack::decisions {

/// What is fixed about a claim before its first platform call.
struct ClaimParameters
{
    std::string key;
    ClaimWriter writer;
    core::Digest request;
    /// The claim must be held before it.
    core::TimePoint deadline = {};
    /// A platform call without an answer after this time counts as lost. It doubles with each
    /// failed call in a row, so that a slow platform is not given up.
    std::chrono::milliseconds callTimeout = std::chrono::milliseconds(500);
    /// Pause after the first failed call; it doubles with each further one.
    std::chrono::milliseconds pause = std::chrono::milliseconds(50);
    /// Failed calls in a row after which the request is refused.
    std::uint32_t maxFailedCalls = 3;
    /// The same for recording, when no caller waits any more. With the pauses this outlasts an
    /// outage of two minutes; after that a repeat gets MayHaveRun.
    std::uint32_t maxFailedRecordCalls = 45;

    friend bool operator==(const ClaimParameters &, const ClaimParameters &) = default;
};

namespace claim {

// Events. `call` is the number of the action that is answered.

struct Begin
{
    friend bool operator==(const Begin &, const Begin &) = default;
};

/// The platform accepted a create or update.
struct Written
{
    std::uint64_t call = 0;
    std::uint64_t version = 0;
    friend bool operator==(const Written &, const Written &) = default;
};

/// What the platform holds: answer to a read, or to a create or update whose condition failed.
struct Found
{
    std::uint64_t call = 0;
    std::optional<StoredClaim> stored;
    friend bool operator==(const Found &, const Found &) = default;
};

/// The call failed; false only if the platform has said that it changed nothing (503).
struct CallFailed
{
    std::uint64_t call = 0;
    bool mayHaveTakenEffect = true;
    friend bool operator==(const CallFailed &, const CallFailed &) = default;
};

/// The time of `nextTimer()` has come.
struct TimerFired
{
    friend bool operator==(const TimerFired &, const TimerFired &) = default;
};

/// The caller has gone or the node stops; only useful before the claim is granted.
struct Cancel
{
    core::ErrorCode code = core::ErrorCode::ConnectionFailed;
    friend bool operator==(const Cancel &, const Cancel &) = default;
};

/// The attempts that the grant allowed have ended.
struct Finished
{
    ClaimOutcome outcome;
    friend bool operator==(const Finished &, const Finished &) = default;
};

using Event = std::variant<Begin, Written, Found, CallFailed, TimerFired, Cancel, Finished>;

// Actions.

/// Write if the key does not exist.
struct CreateClaim
{
    std::uint64_t call = 0;
    std::string key;
    ClaimRecord record;
    friend bool operator==(const CreateClaim &, const CreateClaim &) = default;
};

/// Write if the key still has the version.
struct UpdateClaim
{
    std::uint64_t call = 0;
    std::string key;
    std::uint64_t version = 0;
    ClaimRecord record;
    friend bool operator==(const UpdateClaim &, const UpdateClaim &) = default;
};

struct ReadClaim
{
    std::uint64_t call = 0;
    std::string key;
    friend bool operator==(const ReadClaim &, const ReadClaim &) = default;
};

/// The request may be sent now; answer with Finished when its attempts have ended.
struct Grant
{
    friend bool operator==(const Grant &, const Grant &) = default;
};

/// The request has run before; give the caller this outcome.
struct Replay
{
    ClaimOutcome outcome;
    friend bool operator==(const Replay &, const Replay &) = default;
};

/// The request must not be sent. The protocol may still tidy up: continue until isFinished().
struct Refuse
{
    core::Error error;
    friend bool operator==(const Refuse &, const Refuse &) = default;
};

using Action = std::variant<CreateClaim, UpdateClaim, ReadClaim, Grant, Replay, Refuse>;

} // namespace claim

} // namespace boragerack::decisions
