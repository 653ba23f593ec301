#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/AttemptId.h"
#include "boragerack/decisions/CrashAttribution.h"
#include "boragerack/decisions/CrashSuspect.h"
#include "boragerack/decisions/Quarantine.h"

namespace boragerack::decisions {

/// An attempt under which a target crashed.
struct CrashedAttempt
{
    AttemptId attempt;
    /// The process that crashed.
    std::string target;
    core::TimePoint sentAt = {};
    core::TimePoint crashedAt = {};

    friend auto operator<=>(const CrashedAttempt &, const CrashedAttempt &) = default;
};

/// What a node reports to the node that counts crashes.
struct CrashReports
{
    std::vector<quarantine::CrashReport> crashes;
    std::vector<quarantine::Completed> completed;

    friend bool operator==(const CrashReports &, const CrashReports &) = default;
};

/// Decides on one node what it reports to the node that counts crashes. Reports are repeated until
/// they are accepted, and once more for each successor of that node, since the counts of a node end
/// with it.
class CrashReporter
{
public:
    /// How long a crash is reported.
    static constexpr std::chrono::seconds kRetention {30};
    /// Crashes that are kept; older ones are removed first.
    static constexpr std::size_t kMaxCrashes = 64;

    void handleCrash(const CrashedAttempt &attempt, const std::vector<CrashSuspect> &suspects,
                     core::TimePoint now);
    /// A request with these suspects was answered completely.
    void handleCompletion(const std::vector<CrashSuspect> &suspects, core::TimePoint now);

    /// Number of reports that have not been accepted.
    std::size_t pendingCount() const;
    CrashReports takePending(core::TimePoint now);
    /// The reports of the last takePending() were accepted.
    void handleAccepted();
    /// Another node counts from now on. It has at most the reports of the last takePending().
    void handleSuccessor();

private:
    enum class ReportState {
        Pending,
        InFlight,
        Accepted,
    };

    struct Crash
    {
        CrashedAttempt attempt;
        std::vector<CrashSuspect> suspects;
        ReportState state = ReportState::Pending;
    };

    void removeExpired(core::TimePoint now);

    CrashAttribution attribution_;
    std::deque<Crash> crashes_;
    std::vector<quarantine::Completed> completed_;
    /// How many of `completed_`, from the first, are in flight.
    std::size_t completedInFlight_ = 0;
};

} // namespace boragerack::decisions
