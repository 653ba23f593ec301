#pragma once

#include <memory>
#include <stdexcept>
#include <string>

#include "boragerack/charts/ChartParser.h"
#include "boragerack/decisions/AttemptChart.h"
#include "boragerack/decisions/ClaimChart.h"
#include "boragerack/decisions/ConnectionChart.h"
#include "boragerack/decisions/NodeChart.h"

namespace boragerack::decisions::testing {

inline charts::StateChart readChart(const std::string &name)
{
    auto chart = charts::loadChart(BORAGERACK_CHARTS_DIR, name);
    if (!core::isOk(chart))
        throw std::runtime_error(core::errorOf(chart).message);
    return core::takeValue(std::move(chart));
}

template<class Binding>
std::shared_ptr<const Binding> shareBinding(core::Result<Binding> binding)
{
    if (!core::isOk(binding))
        throw std::runtime_error(core::errorOf(binding).message);
    return std::make_shared<const Binding>(core::takeValue(std::move(binding)));
}

inline std::shared_ptr<const AttemptBinding>
makeAttemptBinding(const charts::StateChart &chart = readChart("attempt"))
{
    return shareBinding(bindAttemptChart(chart));
}

inline std::shared_ptr<const ClaimBinding>
makeClaimBinding(const charts::StateChart &chart = readChart("claim"))
{
    return shareBinding(bindClaimChart(chart));
}

inline std::shared_ptr<const ConnectionBinding>
makeConnectionBinding(const charts::StateChart &chart = readChart("connection"))
{
    return shareBinding(bindConnectionChart(chart));
}

inline std::shared_ptr<const NodeBinding>
makeNodeBinding(const charts::StateChart &chart = readChart("node"))
{
    return shareBinding(bindNodeChart(chart));
}

/// Copy of the chart with one transition replaced; tests use it to disable a mechanism.
inline charts::StateChart withTransition(charts::StateChart chart, const std::string &state,
                                         const std::string &event,
                                         const charts::Transition &transition)
{
    chart.states.at(state).transitions.at(event) = transition;
    return chart;
}

} // namespace boragerack::decisions::testing
