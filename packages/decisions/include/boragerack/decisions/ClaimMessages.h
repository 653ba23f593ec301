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

/// Parameters of a claim that are fixed before its first platform call.
struct ClaimParameters
{
    std::string key;
    ClaimWriter writer;
    core::Digest request;
    /// Time before which the claim must be held.
    core::TimePoint deadline = {};
    /// Timeout of a platform call. It doubles with each consecutive failure, so that a slow
    /// platform has time to answer.
    std::chrono::milliseconds callTimeout = std::chrono::milliseconds(500);
    /// Pause after the first failed call; it doubles with each further consecutive failure.
    std::chrono::milliseconds pause = std::chrono::milliseconds(50);
    /// Consecutive failed calls after which the request is refused.
    std::uint32_t maxFailedCalls = 3;
    /// The same limit while the outcome is recorded, when no caller is waiting. With the pauses
    /// this covers a platform outage of two minutes; after a longer one a repeat gets MayHaveRun.
    std::uint32_t maxFailedRecordCalls = 45;

    friend bool operator==(const ClaimParameters &, const ClaimParameters &) = default;
};

namespace claim {

// Events. `call` is the number in the action that the event answers.

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

/// The stored claim: answer to a read, or to a create or update whose precondition failed.
struct Found
{
    std::uint64_t call = 0;
    std::optional<StoredClaim> stored;
    friend bool operator==(const Found &, const Found &) = default;
};

/// The call failed. `mayHaveTakenEffect` is false only if the platform stated that it changed
/// nothing (503).
struct CallFailed
{
    std::uint64_t call = 0;
    bool mayHaveTakenEffect = true;
    friend bool operator==(const CallFailed &, const CallFailed &) = default;
};

/// The time returned by `nextTimer()` has been reached.
struct TimerFired
{
    friend bool operator==(const TimerFired &, const TimerFired &) = default;
};

/// The caller disconnected or the node is stopping. Ignored once the claim has been granted.
struct Cancel
{
    core::ErrorCode code = core::ErrorCode::ConnectionFailed;
    friend bool operator==(const Cancel &, const Cancel &) = default;
};

/// The attempts made under the grant have ended.
struct Finished
{
    ClaimOutcome outcome;
    friend bool operator==(const Finished &, const Finished &) = default;
};

using Event = std::variant<Begin, Written, Found, CallFailed, TimerFired, Cancel, Finished>;

// Actions.

/// Create the record if the key does not exist.
struct CreateClaim
{
    std::uint64_t call = 0;
    std::string key;
    ClaimRecord record;
    friend bool operator==(const CreateClaim &, const CreateClaim &) = default;
};

/// Replace the record if its version is still `version`.
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

/// The request may be sent now; report Finished when its attempts have ended.
struct Grant
{
    friend bool operator==(const Grant &, const Grant &) = default;
};

/// The request has run before; return this outcome to the caller.
struct Replay
{
    ClaimOutcome outcome;
    friend bool operator==(const Replay &, const Replay &) = default;
};

/// The request must not be sent. The protocol may still have to withdraw its claim: continue until
/// isFinished().
struct Refuse
{
    core::Error error;
    friend bool operator==(const Refuse &, const Refuse &) = default;
};

using Action = std::variant<CreateClaim, UpdateClaim, ReadClaim, Grant, Replay, Refuse>;

} // namespace claim

} // namespace boragerack::decisions
