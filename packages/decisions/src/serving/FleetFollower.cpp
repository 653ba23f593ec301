#include "boragerack/decisions/serving/FleetFollower.h"

namespace boragerack::decisions {

bool FleetFollower::fits(const FleetUpdate &update) const
{
    return update.since.term == 0 || update.since == known_;
}

void FleetFollower::adopt(const FleetUpdate &update, bool areTargetsAdopted)
{
    // Each term numbers its versions from the beginning.
    const std::uint64_t targetsBefore = known_.term == update.versions.term ? known_.targets : 0;
    known_ = update.versions;
    if (!areTargetsAdopted)
        known_.targets = targetsBefore;
}

} // namespace boragerack::decisions
