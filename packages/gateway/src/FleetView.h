#pragma once

#include <set>
#include <vector>

#include "boragerack/core/Digest.h"
#include "boragerack/decisions/serving/CoordinationMessages.h"

namespace boragerack::gateway {

/// Live nodes as reported by the coordinator, and the fingerprints of quarantined requests.
struct FleetView
{
    std::vector<decisions::FleetMember> members;
    std::set<core::Digest> quarantined;
    /// No coordinator has confirmed the members for some seconds.
    bool isStale = false;

    friend bool operator==(const FleetView &, const FleetView &) = default;
};

} // namespace boragerack::gateway
