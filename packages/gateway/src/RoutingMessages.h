#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "ConfigurationTask.h"
#include "TargetTask.h"
#include "boragerack/core/Result.h"
#include "boragerack/decisions/serving/CoordinationMessages.h"
#include "boragerack/decisions/serving/RequestRouter.h"
#include "boragerack/runtime/ReplyChannel.h"

namespace boragerack::gateway {

/// A target for one attempt.
struct RouteGrant
{
    core::TargetId target;
    std::string address;

    friend auto operator<=>(const RouteGrant &, const RouteGrant &) = default;
};

using RouteReply = runtime::ReplyChannel<core::Result<RouteGrant>>;

/// Asks for a target. The answer may come late, when a replica has been loaded; every ask is
/// followed by one RouteRequestEnded.
struct RouteRequest
{
    std::uint64_t request = 0;
    decisions::RouteRequirements demand;
    core::OrganisationId organisation;
    /// Tokens to take from the organisation's limit; zero for further attempts.
    std::int64_t tokens = 0;
    /// Further attempts keep the place of the first one.
    bool isFirst = true;
    core::TimePoint deadline = {};
    RouteReply reply;
};

/// The attempt, or the wait for a target, has ended.
struct RouteRequestEnded
{
    std::uint64_t request = 0;
    decisions::AttemptOutcome outcome = decisions::AttemptOutcome::Abandoned;
    bool isMissing = false;
};

/// Tokens of a request that did not run.
struct TokensReturned
{
    core::OrganisationId organisation;
    std::int64_t tokens = 0;
};

/// Asks whether a request may be sent to a service once more.
struct RetryRequest
{
    core::ServiceId service;
    runtime::ReplyChannel<bool> reply;
};

struct RequestCrashReported
{
    decisions::RequestCrash death;
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

/// The coordinator's answer to the last report, or nothing if there was none.
struct ReportAnswered
{
    std::optional<decisions::CoordinationAnswer> answer;
    core::TimePoint reportedAt = {};
    /// The coordinator is this node, which reads the platform itself.
    bool isLocal = false;
    /// Most nodes that the record of the lease has named; zero if it is not known.
    std::uint32_t nodes = 0;
};

/// The node stops; the coordinator is told with the next report.
struct StopAnnounced
{
};

struct StopRouting
{
};

using RoutingMessage = std::variant<RouteRequest, RouteRequestEnded, TokensReturned, RetryRequest,
                                    RequestCrashReported, TargetListChanged, ConfigurationChanged,
                                    ReportAnswered, StopAnnounced, StopRouting>;

} // namespace boragerack::gateway
