#pragma once

#include <map>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

enum class AttemptOutcome {
    Succeeded,
    Failed, ///< The target returned an error or closed the connection early.
    Refused, ///< The target rejected the request without executing it.
    Abandoned, ///< The caller disconnected or the deadline passed; not counted.
};

/// Detects targets whose failure rate is much higher than that of their service although they are
/// listed as live.
class OutlierDetector
{
public:
    void record(const core::ServiceId &service, const core::TargetId &target,
                AttemptOutcome outcome, core::TimePoint now);

    /// Whether the target is ejected at present. After the ejection it is used again, and its next
    /// few attempts decide anew.
    bool isEjected(const core::TargetId &target, core::TimePoint now) const;

private:
    /// Counts that decay exponentially with time.
    struct Rate
    {
        double attempts = 0;
        double failures = 0;
        core::TimePoint updatedAt = {};

        void decay(core::TimePoint now);
        double failureShare() const { return attempts > 0 ? failures / attempts : 0; }
    };

    struct TargetState
    {
        Rate rate;
        core::TimePoint ejectedUntil = {};
    };

    std::map<core::TargetId, TargetState> targets_;
    std::map<core::ServiceId, Rate> services_;
};

} // namespace boragerack::decisions
