#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "boragerack/charts/StateChart.h"
#include "boragerack/core/Result.h"

namespace boragerack::charts {

/// Names of an enumeration's values, indexed by value; the values start at zero.
template<class Enum, std::size_t Size>
struct EnumNames
{
    std::array<std::string_view, Size> names;
};

/// A chart bound to the enumerations that the program uses for its states, events and actions.
/// Looking up a transition takes constant time.
template<class State, class Event, class Action>
class ChartBinding
{
public:
    /// Effect of an event: the next state and the actions to perform, in order.
    struct Step
    {
        State next;
        std::vector<Action> actions;

        friend bool operator==(const Step &, const Step &) = default;
    };

    /// Fails when the chart and the enumerations do not name the same states, events and actions.
    template<std::size_t States, std::size_t Events, std::size_t Actions>
    static core::Result<ChartBinding>
    make(const StateChart &chart, const EnumNames<State, States> &states,
         const EnumNames<Event, Events> &events, const EnumNames<Action, Actions> &actions)
    {
        if (const std::string mismatch =
                findNameMismatch(chart, states.names, events.names, actions.names);
            !mismatch.empty()) {
            return core::makeNotRunError(core::ErrorCode::InvalidRequest,
                                         "chart " + chart.name + ": " + mismatch);
        }
        ChartBinding binding;
        binding.name_ = chart.name;
        binding.eventCount_ = Events;
        binding.initial_ = static_cast<State>(indexOf(states.names, chart.initial));
        binding.steps_.resize(States * Events);
        binding.final_.resize(States);
        for (const auto &[stateName, state] : chart.states) {
            const std::size_t stateIndex = indexOf(states.names, stateName);
            binding.final_[stateIndex] = state.isFinal;
            for (const auto &[eventName, transition] : state.transitions) {
                Step step {static_cast<State>(indexOf(states.names, transition.target)), {}};
                for (const std::string &action : transition.actions)
                    step.actions.push_back(static_cast<Action>(indexOf(actions.names, action)));
                binding.steps_[stateIndex * Events + indexOf(events.names, eventName)] =
                    std::move(step);
            }
        }
        return binding;
    }

    State initial() const { return initial_; }
    const std::string &name() const { return name_; }
    bool isFinal(State state) const { return final_[static_cast<std::size_t>(state)]; }

    /// The effect of the event, or null when the state does not accept it.
    const Step *find(State state, Event event) const
    {
        const auto &step =
            steps_[static_cast<std::size_t>(state) * eventCount_ + static_cast<std::size_t>(event)];
        return step ? &*step : nullptr;
    }

private:
    ChartBinding() = default;

    template<class Names>
    static std::size_t indexOf(const Names &names, std::string_view name)
    {
        std::size_t index = 0;
        while (index < names.size() && names[index] != name)
            ++index;
        return index;
    }

    template<class Names>
    static std::string findMismatch(std::string_view kind, const std::set<std::string> &chartNames,
                                    const Names &enumNames)
    {
        for (const std::string &name : chartNames) {
            if (indexOf(enumNames, name) == enumNames.size())
                return std::string(kind) + " \"" + name + "\" is unknown to the program";
        }
        for (const std::string_view name : enumNames) {
            if (!chartNames.contains(std::string(name)))
                return std::string(kind) + " \"" + std::string(name) + "\" is missing";
        }
        return {};
    }

    template<class States, class Events, class Actions>
    static std::string findNameMismatch(const StateChart &chart, const States &states,
                                        const Events &events, const Actions &actions)
    {
        std::set<std::string> chartStates;
        std::set<std::string> chartEvents;
        std::set<std::string> chartActions;
        for (const auto &[stateName, state] : chart.states) {
            chartStates.insert(stateName);
            for (const auto &[eventName, transition] : state.transitions) {
                chartEvents.insert(eventName);
                chartActions.insert(transition.actions.begin(), transition.actions.end());
            }
        }
        std::string mismatch = findMismatch("state", chartStates, states);
        if (mismatch.empty())
            mismatch = findMismatch("event", chartEvents, events);
        if (mismatch.empty())
            mismatch = findMismatch("action", chartActions, actions);
        return mismatch;
    }

    std::string name_;
    State initial_ = {};
    std::size_t eventCount_ = 0;
    std::vector<std::optional<Step>> steps_;
    std::vector<bool> final_;
};

} // namespace boragerack::charts
