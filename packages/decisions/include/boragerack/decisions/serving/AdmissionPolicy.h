#pragma once

#include <chrono>
#include <optional>

#include "boragerack/core/Clock.h"

namespace boragerack::core {
class RandomSource;
}

namespace boragerack::decisions {

/// What a request that has no target yet can expect.
struct AdmissionForecast
{
    /// Until the requests ahead of it have been sent.
    core::Duration drain = {};
    /// From its send to an idle target to the first piece of its answer.
    core::Duration firstPiece = {};
    /// Until its deadline.
    core::Duration timeLeft = {};
    /// The same as `firstPiece` for the last request of a full window; the mean of the targets.
    core::Duration queuedFirstPiece = {};

    friend auto operator<=>(const AdmissionForecast &, const AdmissionForecast &) = default;
};

/// Decides which requests are refused because they cannot begin before their deadline. Answers
/// loads that stay above the capacity of the targets, in which requests would wait for nothing.
class AdmissionPolicy
{
public:
    /// `random` must outlive the policy.
    explicit AdmissionPolicy(core::RandomSource &random);

    /// The delay after which the caller may try again if the request is refused; empty if it waits.
    std::optional<std::chrono::milliseconds> refuse(const AdmissionForecast &forecast);
    /// Delay after which the backlog has been served, spread so that callers do not return at once.
    std::chrono::milliseconds retryAfter(const AdmissionForecast &forecast);

private:
    core::RandomSource &random_;
};

} // namespace boragerack::decisions
