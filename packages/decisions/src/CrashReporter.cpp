#include "boragerack/decisions/CrashReporter.h"

#include <algorithm>
#include <utility>

namespace boragerack::decisions {

namespace {

/// Complete answers that are kept until they are accepted.
constexpr std::size_t kMaxCompleted = 256;

quarantine::CrashReport makeReport(const CrashedAttempt &attempt, const CrashSuspect &suspect,
                                   core::TimePoint now)
{
    const auto ageOf = [now](core::TimePoint time) {
        return std::chrono::floor<std::chrono::milliseconds>(now - time);
    };
    return {suspect.fingerprint,      attempt.attempt, suspect.origin,
            suspect.minOrigins,       attempt.target,  ageOf(attempt.sentAt),
            ageOf(attempt.crashedAt), suspect.part,    suspect.position,
            suspect.wasAnswered};
}

} // namespace

void CrashReporter::handleCrash(const CrashedAttempt &attempt,
                                const std::vector<CrashSuspect> &suspects, core::TimePoint now)
{
    removeExpired(now);
    std::vector<CrashSuspect> reported = attribution_.handleCrash(suspects, attempt.crashedAt);
    if (reported.empty())
        return;
    if (crashes_.size() >= kMaxCrashes)
        crashes_.pop_front();
    crashes_.push_back({attempt, std::move(reported)});
}

void CrashReporter::handleCompletion(const std::vector<CrashSuspect> &suspects, core::TimePoint now)
{
    for (const core::Digest &harmless : attribution_.handleCompletion(suspects, now)) {
        for (Crash &crash : crashes_)
            std::erase_if(crash.suspects, [&](const CrashSuspect &suspect) {
                return suspect.fingerprint == harmless;
            });
        if (completed_.size() < kMaxCompleted)
            completed_.push_back({harmless});
    }
}

std::size_t CrashReporter::pendingCount() const
{
    std::size_t count = completed_.size();
    for (const Crash &crash : crashes_) {
        if (crash.state != ReportState::Accepted)
            count += crash.suspects.size();
    }
    return count;
}

CrashReports CrashReporter::takePending(core::TimePoint now)
{
    removeExpired(now);
    CrashReports reports;
    for (Crash &crash : crashes_) {
        if (crash.state == ReportState::Accepted)
            continue;
        crash.state = ReportState::InFlight;
        for (const CrashSuspect &suspect : crash.suspects)
            reports.crashes.push_back(makeReport(crash.attempt, suspect, now));
    }
    reports.completed = completed_;
    completedInFlight_ = completed_.size();
    return reports;
}

void CrashReporter::handleAccepted()
{
    for (Crash &crash : crashes_) {
        if (crash.state == ReportState::InFlight)
            crash.state = ReportState::Accepted;
    }
    completed_.erase(completed_.begin(),
                     completed_.begin() + static_cast<std::ptrdiff_t>(completedInFlight_));
    completedInFlight_ = 0;
}

void CrashReporter::handleSuccessor()
{
    for (Crash &crash : crashes_) {
        if (crash.state == ReportState::Accepted)
            crash.state = ReportState::Pending;
    }
}

void CrashReporter::removeExpired(core::TimePoint now)
{
    while (!crashes_.empty() && now - crashes_.front().attempt.crashedAt >= kRetention)
        crashes_.pop_front();
}

} // namespace boragerack::decisions
