#include "boragerack/decisions/serving/FleetFollower.h"

namespace boragerack::decisions {

bool FleetFollower::fits(const FleetUpdate &update) const
{
    return update.since.term == 0 || update.since == known_;
}

AnswerContent FleetFollower::examine(const CoordinationAnswer &answer, const FleetUpdate &update,
                                     core::TimePoint reportedAt) const
{
    // An answer that names a relay holds no state. The update is then that of an earlier answer,
    // perhaps of another coordinator. The versions that the report named may have been discarded
    // since.
    if (!answer.change || !fits(update))
        return {};
    if (answer.standing != CoordinatorStanding::Holding)
        return {true, std::nullopt};
    return {true,
            targets::Relayed {update.targets,
                              reportedAt - answer.platformReadStatus.targetsAge,
                              {update.versions.term, update.versions.targets}}};
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
