#pragma once

#include <chrono>
#include <optional>
#include <unordered_map>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Digest.h"
#include "boragerack/decisions/CrashSuspect.h"

namespace boragerack::decisions {

/// Decides on one node which crashes are reported for which suspects. Requests that were in
/// progress beside the cause fail with it, so a part of a prompt is suspected only while targets
/// answer requests without it and none with it.
class CrashAttribution
{
public:
    /// How long a complete answer shows that the parts of its request are harmless.
    static constexpr std::chrono::milliseconds kCompletionValidity {3000};

    /// Suspects for which a crash is to be reported.
    std::vector<CrashSuspect> handleCrash(const std::vector<CrashSuspect> &suspects,
                                          core::TimePoint now);
    /// A complete answer. Returns the suspects that were reported before and are harmless.
    std::vector<core::Digest> handleCompletion(const std::vector<CrashSuspect> &suspects,
                                               core::TimePoint now);

private:
    bool isSuspected(const CrashSuspect &suspect, core::TimePoint now) const;

    std::unordered_map<core::Digest, core::TimePoint> completedAt_;
    std::unordered_map<core::Digest, core::TimePoint> reportedAt_;
    std::optional<core::TimePoint> firstCompletedAt_;
    std::optional<core::TimePoint> lastCompletedAt_;
};

} // namespace boragerack::decisions
