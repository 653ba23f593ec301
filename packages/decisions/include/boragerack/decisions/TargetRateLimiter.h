#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/TargetRates.h"

namespace boragerack::decisions {

/// Limits the requests of this node to targets that named a rate. Each request to such a target
/// needs a permit. Permits come from the coordinator, which shares the rate among the nodes by
/// demand; without one the node accrues its equal part of the rate.
class TargetRateLimiter
{
public:
    struct Permit
    {
        TargetProcess process;
        core::TimePoint expiresAt = {};
    };

    /// Records what the target named in a response. True if this changes the rate.
    bool record(const TargetProcess &process, std::optional<double> requestsPerSecond,
                core::TimePoint now);
    /// Sets a limit that applies whatever the target or the coordinator name, or ends it.
    void setLimit(const TargetProcess &process, std::optional<double> requestsPerSecond);
    /// Replaces the rates that the coordinator distributes.
    void adopt(const std::vector<TargetRate> &rates, core::TimePoint now);
    /// Another coordinator is followed; it receives the rates from the nodes.
    void handleSuccessor();

    /// Observations that the coordinator does not have yet.
    std::vector<RateObservation> takeObservations(core::TimePoint now);
    /// The coordinator has the observations that were taken last.
    void handleAccepted();

    /// Empty if the rate of the target is not limited.
    std::optional<double> rateOf(const TargetProcess &process) const;
    bool hasPermit(const TargetProcess &process, core::TimePoint now) const;
    /// Empty if there is no permit.
    std::optional<Permit> take(const TargetProcess &process, core::TimePoint now);
    /// Returns the permit of a request that was not sent.
    void giveBack(const Permit &permit, core::TimePoint now);
    void credit(const PermitGrant &grant, core::TimePoint now);

    /// Accrues this node's part of the rates since the last call; used without a coordinator.
    /// `rank` is the position of this node among the nodes: their first permits are spread over the
    /// time in which each accrues one, because otherwise all of them would send at the same time.
    void accrue(core::TimePoint now, std::uint32_t rank, std::uint32_t nodes);
    /// The coordinator grants permits; the next `accrue()` starts a new interval.
    void stopAccruing();

    /// Forgets the targets for which the predicate is false.
    template<typename Predicate>
    void retain(Predicate isKept)
    {
        std::erase_if(targets_, [&](const auto &item) { return !isKept(item.first); });
    }

private:
    struct Observation
    {
        std::optional<double> requestsPerSecond;
        core::TimePoint at = {};
        /// The report that contains it has not been answered.
        bool isReported = false;
    };

    struct Target
    {
        /// The rate that the coordinator distributes.
        std::optional<double> distributed;
        core::TimePoint distributedAt = {};
        /// An observation that the coordinator does not have yet; it takes precedence.
        std::optional<Observation> observation;
        /// Applies in addition to the others.
        std::optional<double> limit;
        std::deque<core::TimePoint> permitExpiries;
        /// Fraction of the next permit that has accrued; empty while a coordinator grants them.
        std::optional<double> accrued;

        std::optional<double> rate() const;
    };

    const Target *find(const TargetProcess &process) const;

    std::map<TargetProcess, Target> targets_;
    std::optional<core::TimePoint> accruedAt_;
};

} // namespace boragerack::decisions
