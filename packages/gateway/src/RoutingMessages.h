#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "ConfigurationTask.h"
#include "TargetTask.h"
#include "boragerack/core/Result.h"
#include "boragerack/decisions/CrashReporter.h"
#include "boragerack/decisions/CrashSuspect.h"
#include "boragerack/decisions/serving/CoordinationMessages.h"
#include "boragerack/decisions/serving/RequestRouter.h"
#include "boragerack/decisions/serving/SendPermission.h"
#include "boragerack/runtime/ReplyChannel.h"

namespace boragerack::gateway {

/// The target that was selected for one attempt.
struct RouteGrant
{
    core::TargetId target;
    std::string address;
    /// When the target's process started.
    std::uint64_t startedAt = 0;
    /// The answer shows whether the target still limits its rate.
    bool isRateLimited = false;

    friend auto operator<=>(const RouteGrant &, const RouteGrant &) = default;
};

using RouteReply = runtime::ReplyChannel<core::Result<RouteGrant>>;

/// Requests a target. The reply may be delayed until a replica has been loaded. Each RouteRequest
/// is followed by exactly one RouteRequestEnded.
struct RouteRequest
{
    std::uint64_t request = 0;
    decisions::RouteRequirements requirements;
    core::OrganisationId organisation;
    /// Tokens to take from the organisation's limit; zero after the first selection.
    std::int64_t tokens = 0;
    /// Only the first selection of a target counts as a request and waits in the request queue.
    bool isFirst = true;
    /// The request has been sent before, so it needs a retry of the service's budget.
    bool isRetry = false;
    core::TimePoint deadline = {};
    RouteReply reply;
};

/// The attempt, or the wait for a target, has ended.
struct RouteRequestEnded
{
    std::uint64_t request = 0;
    decisions::AttemptOutcome outcome = decisions::AttemptOutcome::Abandoned;
    bool isMissing = false;
    /// From the send to the first piece of the answer; empty if none arrived.
    std::optional<core::Duration> firstPiece;
    /// What has not crashed the target, if it answered completely.
    std::vector<decisions::CrashSuspect> harmless;
};

/// A target asked something of its callers in the head of its response to a request.
struct TargetAdviceReceived
{
    decisions::TargetProcess process;
    decisions::TargetAdvice advice;
};

/// The request has ended and selects no further target.
struct RequestFinished
{
    std::uint64_t request = 0;
    /// The request ran, or may have run, so its tokens stay spent.
    bool hasRun = false;
};

/// Asks, immediately before the request is written, whether it may still be sent to the target that
/// was selected for it.
struct SendPermissionRequest
{
    std::uint64_t request = 0;
    runtime::ReplyChannel<decisions::SendPermission> reply;
};

/// The connection to a target ended before its answer was complete.
struct RequestCrashReported
{
    std::vector<decisions::CrashSuspect> suspects;
    decisions::CrashedAttempt attempt;
};

struct TargetListChanged
{
    TargetEntriesPointer entries;
    bool hasReplicas = true;
};

struct ConfigurationChanged
{
    RouteTablePointer table;
};

/// The coordinator's answer to the last report; empty if there was none.
struct ReportAnswered
{
    std::optional<decisions::CoordinationAnswer> answer;
    /// Changes since the versions in the report.
    decisions::FleetUpdate update;
    core::TimePoint reportedAt = {};
    /// This node is the coordinator and reads the platform itself.
    bool isLocal = false;
    /// Largest number of nodes seen in the lease record; zero if unknown.
    std::uint32_t nodes = 0;
    /// The report contained the requests in flight.
    bool hadUses = true;
};

/// The node is stopping; the next report informs the coordinator.
struct StopAnnounced
{
};

struct StopRouting
{
};

using RoutingMessage =
    std::variant<RouteRequest, RouteRequestEnded, TargetAdviceReceived, RequestFinished,
                 SendPermissionRequest, RequestCrashReported, TargetListChanged,
                 ConfigurationChanged, ReportAnswered, StopAnnounced, StopRouting>;

} // namespace boragerack::gateway
