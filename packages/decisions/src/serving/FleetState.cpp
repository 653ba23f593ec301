#include "boragerack/decisions/serving/FleetState.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace boragerack::decisions {

FleetState::FleetState(std::uint64_t term)
{
    versions_.term = term;
}

void FleetState::updateVersions()
{
    versions_.members = members_.version();
    versions_.targets = targets_.version();
    versions_.placements = placements_.version();
    versions_.rates = rates_.version();
}

void FleetState::setMembers(const std::vector<FleetMember> &members)
{
    members_.replace(members);
    updateVersions();
}

void FleetState::setTargets(const std::vector<TargetEntry> &targets)
{
    std::vector<TargetEntry> confirmed;
    std::ranges::copy_if(targets, std::back_inserter(confirmed),
                         [](const TargetEntry &entry) { return !entry.isUnconfirmed; });
    targets_.replace(confirmed);
    updateVersions();
}

void FleetState::updatePlacements(std::uint64_t version,
                                  const std::vector<TargetPlacement> &placements)
{
    placements_.apply({.version = version, .since = placements_.version(), .changed = placements});
    updateVersions();
}

void FleetState::setLoads(const std::vector<TargetLoad> &loads)
{
    std::map<core::TargetId, std::uint32_t> inFlight;
    for (const TargetLoad &load : loads)
        inFlight[load.target] = load.inFlight;
    TargetLoads list {targets_.version(), {}};
    list.inFlight.reserve(targets_.size());
    for (const core::TargetId &target : targets_.keys()) {
        const auto position = inFlight.find(target);
        list.inFlight.push_back(position == inFlight.end() ? 0 : position->second);
    }
    loads_ = std::move(list);
}

void FleetState::setRates(const std::vector<TargetRate> &rates)
{
    rates_.replace(rates);
    updateVersions();
}

FleetChange FleetState::changesSince(const FleetVersions &known) const
{
    const bool isSameTerm = known.term == versions_.term;
    return {versions_.term, members_.since(isSameTerm ? known.members : 0),
            targets_.since(isSameTerm ? known.targets : 0),
            placements_.since(isSameTerm ? known.placements : 0),
            rates_.since(isSameTerm ? known.rates : 0)};
}

bool FleetState::apply(const FleetChange &change)
{
    // Terms increase, so a relay that sends an older one has not yet followed the new coordinator.
    if (change.term < versions_.term)
        return false;
    if (change.term != versions_.term) {
        FleetState next(change.term);
        if (!next.apply(change))
            return false;
        *this = std::move(next);
        return true;
    }
    if (!members_.fits(change.members) || !targets_.fits(change.targets)
        || !placements_.fits(change.placements) || !rates_.fits(change.rates))
        return false;
    members_.apply(change.members);
    targets_.apply(change.targets);
    placements_.apply(change.placements);
    rates_.apply(change.rates);
    updateVersions();
    return true;
}

void FleetState::apply(const TargetLoads &loads)
{
    if (loads.targetsVersion == targets_.version() && loads.inFlight.size() == targets_.size())
        loads_ = loads;
}

FleetUpdate FleetState::updateSince(const FleetVersions &known) const
{
    const bool isSameTerm = known.term == versions_.term;
    FleetUpdate update;
    update.versions = versions_;
    if (isSameTerm)
        update.since = known;
    if (!isSameTerm || known.members != versions_.members)
        update.members = members_.values();
    if (!isSameTerm || known.targets != versions_.targets)
        update.targets = targets_.values();
    if (!isSameTerm || known.placements != versions_.placements)
        update.placements = placements_.since(isSameTerm ? known.placements : 0).changed;
    if (!isSameTerm || known.rates != versions_.rates)
        update.rates = rates_.values();
    if (loads_ && loads_->targetsVersion == targets_.version()) {
        update.loads.emplace();
        std::size_t index = 0;
        for (const core::TargetId &target : targets_.keys()) {
            if (const std::uint32_t inFlight = loads_->inFlight[index++]; inFlight > 0)
                update.loads->push_back({target, inFlight});
        }
    }
    return update;
}

} // namespace boragerack::decisions
