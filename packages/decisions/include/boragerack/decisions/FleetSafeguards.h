#pragma once

namespace boragerack::decisions {

/// Safeguards that tests disable one at a time to verify that their checks detect the omission.
/// Programs leave all of them enabled.
struct FleetSafeguards
{
    bool onlyHigherVersions = true;
    bool freshnessBound = true;
    bool pull = true;
    bool majority = true;

    friend auto operator<=>(const FleetSafeguards &, const FleetSafeguards &) = default;
};

} // namespace boragerack::decisions
