#pragma once

#include <set>
#include <vector>

#include "boragerack/core/Digest.h"
#include "boragerack/decisions/serving/CoordinationMessages.h"

namespace boragerack::gateway {

/// Live nodes as the coordinator knows them, and the requests that no node may run.
struct FleetView
{
    std::vector<decisions::FleetMember> members;
    std::set<core::Digest> quarantined;
    /// No coordinator has confirmed the members for some seconds.
    bool isStale = false;

    friend bool operator==(const FleetView &, const FleetView &) = default;
};

} // namespace boragerack::gateway
