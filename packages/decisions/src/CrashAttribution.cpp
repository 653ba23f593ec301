#include "boragerack/decisions/CrashAttribution.h"

namespace boragerack::decisions {

namespace {

/// While no request has been answered for this long, crashes are not attributed to parts, because
/// all targets may fail for a reason that no request causes.
constexpr std::chrono::seconds kMaxTimeWithoutAnswers(30);
/// A node that began to receive answers less than this time ago has too few to compare.
constexpr std::chrono::milliseconds kMinTimeOfAnswers(500);
/// How long reports and complete answers are kept.
constexpr std::chrono::minutes kMemory(10);
constexpr std::size_t kMaxEntries = 4096;

using Times = std::unordered_map<core::Digest, core::TimePoint>;

void record(Times &times, const core::Digest &digest, core::TimePoint now, core::Duration validity)
{
    if (times.size() >= kMaxEntries && !times.contains(digest)) {
        std::erase_if(times, [&](const auto &item) { return now - item.second >= validity; });
        if (times.size() >= kMaxEntries)
            return;
    }
    times[digest] = now;
}

} // namespace

std::vector<CrashSuspect> CrashAttribution::handleCrash(const std::vector<CrashSuspect> &suspects,
                                                        core::TimePoint now)
{
    std::vector<CrashSuspect> reported;
    for (const CrashSuspect &suspect : suspects) {
        if (!isSuspected(suspect, now))
            continue;
        record(reportedAt_, suspect.fingerprint, now, kMemory);
        reported.push_back(suspect);
        reported.back().wasAnswered = completedAt_.contains(suspect.fingerprint);
    }
    return reported;
}

std::vector<core::Digest>
CrashAttribution::handleCompletion(const std::vector<CrashSuspect> &suspects, core::TimePoint now)
{
    firstCompletedAt_ = firstCompletedAt_.value_or(now);
    lastCompletedAt_ = now;
    std::vector<core::Digest> harmless;
    for (const CrashSuspect &suspect : suspects) {
        if (suspect.isPart())
            record(completedAt_, suspect.fingerprint, now, kMemory);
        if (reportedAt_.erase(suspect.fingerprint) > 0)
            harmless.push_back(suspect.fingerprint);
    }
    return harmless;
}

bool CrashAttribution::isSuspected(const CrashSuspect &suspect, core::TimePoint now) const
{
    if (!suspect.isPart())
        return true;
    if (!lastCompletedAt_ || now - *lastCompletedAt_ >= kMaxTimeWithoutAnswers
        || now - *firstCompletedAt_ < kMinTimeOfAnswers)
        return false;
    const auto completed = completedAt_.find(suspect.fingerprint);
    return completed == completedAt_.end()
        || (now - completed->second >= kCompletionValidity
            && completed->second < *lastCompletedAt_);
}

} // namespace boragerack::decisions
