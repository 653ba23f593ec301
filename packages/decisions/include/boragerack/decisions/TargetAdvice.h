#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

/// One process of a target; a restart under the same identifier is another process.
struct TargetProcess
{
    core::TargetId target;
    /// Milliseconds since the Unix epoch; zero if unknown.
    std::uint64_t startedAt = 0;

    friend auto operator<=>(const TargetProcess &, const TargetProcess &) = default;
};

/// What a target asks of its callers in the head of a response.
struct TargetAdvice
{
    /// The target is about to stop and accepts no further requests.
    bool isLeaving = false;
    /// Requests per second that the target accepts from all nodes together; empty if unlimited.
    std::optional<double> requestsPerSecond;
    /// The target accepts no requests from this node for this time; zero if it does.
    std::chrono::milliseconds pause = {};

    friend auto operator<=>(const TargetAdvice &, const TargetAdvice &) = default;
};

/// Text of a rate for the log.
std::string describeRate(std::optional<double> requestsPerSecond);

} // namespace boragerack::decisions
