#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/TargetRates.h"

namespace boragerack::decisions {

/// Rates that targets accept from all nodes together, held by the coordinator, which grants each
/// request a permit from one bucket a target. A new coordinator gets the rates from the nodes and
/// starts with empty buckets, since it does not know what its predecessor granted.
class TargetPermitIssuer
{
public:
    /// Records the observation of a node unless a more recent one is known.
    void record(const RateObservation &observation, core::TimePoint now);

    /// Grants at most the requested permits. A reserve is granted only from a bucket that is nearly
    /// full, so that it takes no permits from requests that wait.
    PermitGrant grant(const PermitRequest &request, core::TimePoint now);

    /// Sets the fraction of the rates that is granted here. The rest is left to nodes that cannot
    /// reach the coordinator and accrue their own part.
    void setRateFraction(double fraction, core::TimePoint now);

    /// Targets with a limited rate.
    std::vector<TargetRate> rates() const;
    /// Increases when the rates change.
    std::uint64_t version() const { return version_; }

    /// Forgets the targets for which the predicate is false.
    template<typename Predicate>
    void retain(Predicate isKept)
    {
        if (std::erase_if(buckets_, [&](const auto &item) { return !isKept(item.first); }) > 0)
            ++version_;
    }

private:
    struct Bucket
    {
        /// Empty if the last observation named no rate.
        std::optional<double> requestsPerSecond;
        core::TimePoint observedAt = {};
        double level = 0;
        core::TimePoint accruedAt = {};
    };

    void accrue(Bucket &bucket, core::TimePoint now) const;

    double rateFraction_ = 1;
    std::uint64_t version_ = 1;
    std::map<TargetProcess, Bucket> buckets_;
};

} // namespace boragerack::decisions
