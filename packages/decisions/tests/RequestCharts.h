#pragma once

#include <memory>
#include <stdexcept>
#include <string>

#include "boragerack/charts/ChartParser.h"
#include "boragerack/decisions/AttemptChart.h"
#include "boragerack/decisions/ClaimChart.h"

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

} // namespace boragerack::decisions::testing
