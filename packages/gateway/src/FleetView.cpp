#include "FleetView.h"

namespace boragerack::gateway {

std::optional<decisions::quarantine::Notice>
FleetView::findRefusal(const std::vector<decisions::CrashSuspect> &suspects,
                       core::TimePoint now) const
{
    std::optional<decisions::quarantine::Notice> refusal;
    for (const decisions::CrashSuspect &suspect : suspects) {
        const auto position = quarantined.find(suspect.fingerprint);
        if (position == quarantined.end() || position->second <= now)
            continue;
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(position->second - now);
        if (!refusal || remaining > refusal->remaining)
            refusal = {suspect.fingerprint, remaining};
    }
    return refusal;
}

} // namespace boragerack::gateway
