#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "boragerack/decisions/serving/CoordinationMessages.h"
#include "boragerack/decisions/serving/VersionedList.h"

namespace boragerack::decisions {

/// State of the fleet that the coordinator distributes: members, targets, placements, loads and
/// rates.
/// Each node keeps a copy, which it updates with changes and from which it can answer other nodes.
class FleetState
{
public:
    FleetState() = default;
    explicit FleetState(std::uint64_t term);

    const FleetVersions &versions() const { return versions_; }
    std::size_t memberCount() const { return members_.size(); }

    void setMembers(const std::vector<FleetMember> &members);
    /// Unconfirmed targets are not distributed, because only failed calls of this node are a reason
    /// to keep them.
    void setTargets(const std::vector<TargetEntry> &targets);
    /// Adds placements of the given version; the others are unchanged.
    void updatePlacements(std::uint64_t version, const std::vector<TargetPlacement> &placements);
    void setLoads(const std::vector<TargetLoad> &loads);
    void setRates(const std::vector<TargetRate> &rates);

    /// Changes after `known`, which may belong to another term.
    FleetChange changesSince(const FleetVersions &known) const;
    /// Requests in flight at each target, empty before the first report of them.
    const std::optional<TargetLoads> &loads() const { return loads_; }

    /// False, with nothing applied, if the change belongs to an earlier term, or is relative to
    /// versions that this state has not reached.
    bool apply(const FleetChange &change);
    /// Ignores loads for another version of the targets.
    void apply(const TargetLoads &loads);

    /// Changes after `known` with complete lists of members, targets and rates.
    FleetUpdate updateSince(const FleetVersions &known) const;

    friend auto operator<=>(const FleetState &, const FleetState &) = default;

private:
    void updateVersions();

    VersionedList<core::InstanceId, FleetMember, &FleetMember::instance> members_;
    VersionedList<core::TargetId, TargetEntry, &TargetEntry::target> targets_;
    VersionedList<core::TargetId, TargetPlacement, &TargetPlacement::target> placements_;
    VersionedList<core::TargetId, TargetRate, &TargetRate::target> rates_;
    FleetVersions versions_;
    std::optional<TargetLoads> loads_;
};

} // namespace boragerack::decisions
