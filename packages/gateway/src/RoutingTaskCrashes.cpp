// Reports of crashes, and the refusals that follow from them.

#include <chrono>
#include <map>
#include <string>

#include "RoutingTask.h"
#include "boragerack/runtime/EventLog.h"

namespace boragerack::gateway {

namespace {

/// Difference below which two ends of a refusal are the same.
constexpr std::chrono::seconds kRefusalTolerance(2);

} // namespace

void RoutingTask::handleCrashesAccepted(std::uint64_t term)
{
    const bool isSuccessor = std::exchange(crashesTerm_, term) != term;
    if (isSuccessor)
        crashReporter_.handleSuccessor();
    crashReporter_.handleAccepted();
    const std::size_t pending = crashReporter_.pendingCount();
    if (pending == 0)
        return;
    hasUrgentReport_ = true;
    if (isSuccessor)
        runtime::logEvent(runtime::LogEvent::CrashesReportedAgain,
                          "reports=" + std::to_string(pending) + " term=" + std::to_string(term));
}

void RoutingTask::adoptRefusals(const decisions::CoordinationAnswer &answer, std::uint64_t term)
{
    const core::TimePoint now = clock_.now();
    std::map<core::Digest, core::TimePoint> refused;
    // A new coordinator has the refusals of the previous one only from the nodes.
    if (term != refusalsTerm_ && !wereRefusalsReported_)
        refused = fleet_.get()->quarantined;
    else
        refusalsTerm_ = term;
    wereRefusalsReported_ = false;
    for (const decisions::quarantine::Notice &notice : answer.quarantined) {
        // The remaining time is rounded and reaches the node late, so that a difference of some
        // milliseconds is no change.
        const auto known = fleet_.get()->quarantined.find(notice.fingerprint);
        const core::TimePoint until = now + notice.remaining;
        const bool isKnown = known != fleet_.get()->quarantined.end()
            && core::Duration(until - known->second) < kRefusalTolerance
            && core::Duration(known->second - until) < kRefusalTolerance;
        refused[notice.fingerprint] = isKnown ? known->second : until;
    }
    std::erase_if(refused, [now](const auto &item) { return item.second <= now; });
    if (refused == fleet_.get()->quarantined)
        return;
    FleetView view = *fleet_.get();
    view.quarantined = std::move(refused);
    fleet_.set(std::move(view));
}

void RoutingTask::reportCrashes(decisions::CoordinationReport &report)
{
    const core::TimePoint now = clock_.now();
    decisions::CrashReports reports = crashReporter_.takePending(now);
    report.crashes = std::move(reports.crashes);
    report.completed = std::move(reports.completed);
    if (follower_.known().term == refusalsTerm_ && refusalsTerm_ != 0)
        return;
    for (const auto &[fingerprint, until] : fleet_.get()->quarantined) {
        if (until > now)
            report.refusals.push_back(
                {fingerprint, std::chrono::ceil<std::chrono::milliseconds>(until - now)});
    }
    wereRefusalsReported_ = true;
}

} // namespace boragerack::gateway
