#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/serving/CoordinationMessages.h"

namespace boragerack::decisions {

/// Combines the reports of a node and of the nodes that report through it into one report, whose
/// size depends on the distinct artifacts and targets rather than on the number of nodes.
class ReportAggregator
{
public:
    /// A child that has not reported for this long no longer counts.
    static constexpr std::chrono::milliseconds kChildTimeout {1500};
    /// Crash reports in one combined report. If all targets crash, each child has many of them.
    static constexpr std::size_t kMaxHeldCrashes = 1024;

    explicit ReportAggregator(core::InstanceId self);

    /// Adds a report of this node or of a child; replaces its earlier one.
    void add(const CoordinationReport &report, core::TimePoint now);
    /// The combined report since the last call. Its versions are left to the caller.
    CoordinationReport take(core::TimePoint now);

    /// Number of nodes that report through this one.
    std::size_t childCount() const;
    /// Whether some report since the last `take()` has requests that wait.
    bool isUrgent() const { return isUrgent_; }

private:
    struct Source
    {
        CoordinationReport last;
        core::TimePoint at = {};
        /// Reported since the last `take()`.
        bool isNew = false;
    };

    struct HeldRate
    {
        std::optional<double> requestsPerSecond;
        core::TimePoint observedAt = {};
    };

    struct HeldCrash
    {
        /// The ages are those at the time of receipt.
        quarantine::CrashReport crash;
        core::TimePoint receivedAt = {};
    };

    void mergeDemands(core::TimePoint now, CoordinationReport &merged) const;
    void mergeCrashes(core::TimePoint now, CoordinationReport &merged);
    void mergeUses(CoordinationReport &merged) const;
    void addRates(const std::vector<RateObservation> &rates, core::TimePoint now);
    void mergeRates(core::TimePoint now, CoordinationReport &merged);

    core::InstanceId self_;
    std::map<core::InstanceId, Source> sources_;
    /// The most recent observation of each process.
    std::map<TargetProcess, HeldRate> rates_;
    std::vector<HeldCrash> crashes_;
    std::vector<quarantine::Completed> completed_;
    std::vector<quarantine::Notice> refusals_;
    bool isUrgent_ = false;
};

} // namespace boragerack::decisions
