#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "boragerack/core/SeededRandomSource.h"
#include "boragerack/decisions/serving/FleetState.h"

namespace boragerack::decisions::testing {

inline FleetMember memberOf(std::uint64_t number)
{
    return {{"n" + std::to_string(number)}, "a:1", {"x"}, "a:2", 100};
}

inline TargetEntry targetOf(std::uint64_t number)
{
    TargetEntry entry;
    entry.target.value = "t" + std::to_string(number);
    entry.address = "b:" + std::to_string(number);
    return entry;
}

/// Members and targets of a coordinator, which change at random.
struct FleetStateSource
{
    std::vector<FleetMember> members;
    std::vector<TargetEntry> targets;
    std::uint64_t placementVersion = 1;
    FleetState state {1};

    void change(core::SeededRandomSource &random)
    {
        const std::uint64_t number = random.next() % 12;
        if (random.next() % 2 == 0) {
            if (std::erase(members, memberOf(number)) == 0)
                members.push_back(memberOf(number));
            state.setMembers(members);
        } else {
            const auto isSame = [&](const TargetEntry &entry) {
                return entry.target == targetOf(number).target;
            };
            const auto position = std::ranges::find_if(targets, isSame);
            if (position == targets.end())
                targets.push_back(targetOf(number));
            else if (random.next() % 2 == 0)
                position->isLeaving = !position->isLeaving;
            else
                targets.erase(position);
            state.setTargets(targets);
        }
        ++placementVersion;
        state.updatePlacements(placementVersion, {{targetOf(number).target, placementVersion, {}}});
    }

    /// A successor numbers its versions from the beginning.
    void changeTerm()
    {
        state = FleetState(state.versions().term + 1);
        placementVersion = 1;
        state.setMembers(members);
        state.setTargets(targets);
    }
};

} // namespace boragerack::decisions::testing
