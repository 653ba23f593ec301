#pragma once

#include <map>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

enum class AttemptOutcome {
    Succeeded,
    Failed, ///< The target answered with an error or broke off.
    Refused, ///< The target declined the request without running it.
    Abandoned, ///< The caller left or the deadline passed; says nothing about the target.
};

/// Finds targets that fail much more often than the others of their service, although they are
/// listed as live.
class OutlierDetector
{
public:
    void record(const core::ServiceId &service, const core::TargetId &target,
                AttemptOutcome outcome, core::TimePoint now);

    /// Whether the target is set aside for now. After that time single requests try it again.
    bool isEjected(const core::TargetId &target, core::TimePoint now) const;

private:
    /// Counts that fade with time.
    struct Rate
    {
        double attempts = 0;
        double failures = 0;
        core::TimePoint updatedAt = {};

        void fade(core::TimePoint now);
        double share() const { return attempts > 0 ? failures / attempts : 0; }
    };

    struct Standing
    {
        Rate rate;
        core::TimePoint setAsideUntil = {};
    };

    std::map<core::TargetId, Standing> targets_;
    std::map<core::ServiceId, Rate> services_;
};

} // namespace boragerack::decisions
