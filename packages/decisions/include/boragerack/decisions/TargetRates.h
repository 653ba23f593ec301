#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "boragerack/core/Identifier.h"
#include "boragerack/decisions/TargetAdvice.h"

namespace boragerack::decisions {

/// Requests per second that a target accepts from all nodes together.
struct TargetRate
{
    core::TargetId target;
    std::uint64_t startedAt = 0;
    double requestsPerSecond = 0;

    friend auto operator<=>(const TargetRate &, const TargetRate &) = default;
};

/// The rate that a target named in a response to one node; empty if it named none.
struct RateObservation
{
    TargetProcess process;
    std::optional<double> requestsPerSecond;
    /// Time since the response.
    std::chrono::milliseconds age = {};

    friend auto operator<=>(const RateObservation &, const RateObservation &) = default;
};

/// Permits for a target with a limited rate that a node requests; each is for one request.
struct PermitRequest
{
    core::TargetId target;
    /// Requests that can only be sent to targets with a limited rate.
    std::uint32_t waiting = 0;
    /// Requests that could be sent to other targets as well.
    std::uint32_t reserve = 0;

    friend auto operator<=>(const PermitRequest &, const PermitRequest &) = default;
};

struct PermitGrant
{
    core::TargetId target;
    std::uint32_t permits = 0;

    friend auto operator<=>(const PermitGrant &, const PermitGrant &) = default;
};

/// Least rate that is assumed: a target that gets no requests cannot name another rate.
inline constexpr double kMinRequestsPerSecond = 0.1;

/// Permits that can be granted at once for a target that has had no requests for a while.
double permitCapacity(double requestsPerSecond);

/// How long a permit may be used after it was granted. Permits that are kept longer would add up
/// to more requests in a short time than the target accepts.
inline constexpr std::chrono::milliseconds kPermitLifetime(1000);

} // namespace boragerack::decisions
