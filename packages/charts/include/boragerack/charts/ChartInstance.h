#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "boragerack/charts/ChartBinding.h"

namespace boragerack::charts {

/// An instance of a chart; holds its current state.
template<class State, class Event, class Action>
class ChartInstance
{
public:
    using Binding = ChartBinding<State, Event, Action>;

    explicit ChartInstance(std::shared_ptr<const Binding> binding)
        : binding_(std::move(binding))
        , state_(binding_->initial())
    {
    }

    State state() const { return state_; }
    bool isFinished() const { return binding_->isFinal(state_); }
    bool accepts(Event event) const { return binding_->find(state_, event) != nullptr; }

    /// Enters the next state and returns the actions to perform. An event that the current state
    /// does not accept is ignored and returns no actions, because events may still arrive after a
    /// final state has been reached.
    std::vector<Action> fire(Event event)
    {
        const auto *step = binding_->find(state_, event);
        if (!step)
            return {};
        state_ = step->next;
        return step->actions;
    }

private:
    std::shared_ptr<const Binding> binding_;
    State state_;
};

} // namespace boragerack::charts
