#pragma once

namespace boragerack::decisions {

/// Safety mechanisms that a test switches off one at a time to show that it would notice.
/// Programs leave all of them on.
struct FleetSafeguards
{
    bool onlyHigherVersions = true;
    bool freshnessBound = true;
    bool pull = true;
    bool majority = true;

    friend auto operator<=>(const FleetSafeguards &, const FleetSafeguards &) = default;
};

} // namespace boragerack::decisions
