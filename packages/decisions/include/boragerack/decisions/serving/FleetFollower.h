#pragma once

#include "boragerack/decisions/serving/CoordinationMessages.h"

namespace boragerack::decisions {

/// Versions of the fleet's state that a task has adopted. Its reports name them, and the answers
/// contain the changes since then. The task may discard its lists while a report is in flight; the
/// changes in the answer do not restore them.
class FleetFollower
{
public:
    const FleetVersions &known() const { return known_; }

    /// Whether the known versions and the update add up to the versions that the update names.
    bool fits(const FleetUpdate &update) const;

    /// Records that an update that fits was adopted. A list of targets that was not adopted is
    /// requested again.
    void adopt(const FleetUpdate &update, bool areTargetsAdopted);

    /// Discards the known versions, so that only a complete update fits.
    void reset() { known_ = {}; }

private:
    FleetVersions known_;
};

} // namespace boragerack::decisions
