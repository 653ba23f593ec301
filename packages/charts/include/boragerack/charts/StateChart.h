#pragma once

#include <map>
#include <string>
#include <vector>

namespace boragerack::charts {

/// A transition: its target state and the actions to perform, in order.
struct Transition
{
    std::string target;
    std::vector<std::string> actions;

    friend auto operator<=>(const Transition &, const Transition &) = default;
};

/// A state; a final state has no transitions.
struct ChartState
{
    bool isFinal = false;
    std::map<std::string, Transition> transitions;

    friend auto operator<=>(const ChartState &, const ChartState &) = default;
};

/// A state chart as read from a file in charts/.
struct StateChart
{
    std::string name;
    std::string initial;
    std::map<std::string, ChartState> states;

    friend auto operator<=>(const StateChart &, const StateChart &) = default;
};

} // namespace boragerack::charts
