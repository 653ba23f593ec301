#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "boragerack/charts/ChartBinding.h"

namespace boragerack::charts {

/// One running lifecycle: the current state of a chart.
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

    /// Moves to the next state and returns the actions to perform. An event that the state does
    /// not accept changes nothing and gives no action; late events after an end are normal.
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
