#pragma once

#include <map>
#include <optional>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Digest.h"
#include "boragerack/decisions/Quarantine.h"
#include "boragerack/decisions/serving/CoordinationMessages.h"

namespace boragerack::gateway {

/// Live nodes as reported by the coordinator, and the fingerprints of quarantined requests.
struct FleetView
{
    std::vector<decisions::FleetMember> members;
    /// Fingerprints of requests and of parts of prompts, with the end of their refusal.
    std::map<core::Digest, core::TimePoint> quarantined;
    /// No coordinator has confirmed the members for some seconds.
    bool isStale = false;

    /// The refusal with the latest end among those of the suspects; nullopt if a request with them
    /// may be sent.
    std::optional<decisions::quarantine::Notice>
    findRefusal(const std::vector<decisions::CrashSuspect> &suspects, core::TimePoint now) const;

    friend bool operator==(const FleetView &, const FleetView &) = default;
};

} // namespace boragerack::gateway
