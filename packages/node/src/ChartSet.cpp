#include "ChartSet.h"

#include <optional>
#include <string_view>
#include <utility>

#include "boragerack/charts/ChartLoader.h"

namespace boragerack::node {

core::Result<ChartSet> loadCharts(const std::filesystem::path &directory)
{
    charts::ChartLoader loader(directory);
    ChartSet set;
    set.attempt = loader.load<decisions::AttemptBinding>("attempt", decisions::bindAttemptChart);
    set.claim = loader.load<decisions::ClaimBinding>("claim", decisions::bindClaimChart);
    set.connection =
        loader.load<decisions::ConnectionBinding>("connection", decisions::bindConnectionChart);
    set.node = loader.load<decisions::NodeBinding>("node", decisions::bindNodeChart);
    const auto order = loader.load("order");
    const auto replica = loader.load("replica");
    const auto share = loader.load("share");
    if (loader.error())
        return *loader.error();
    auto placement = decisions::makePlacementCharts(*order, *replica);
    if (!core::isOk(placement))
        return core::errorOf(placement);
    set.placement = core::takeValue(std::move(placement));
    auto shareChart = decisions::bindShareChart(*share);
    if (!core::isOk(shareChart))
        return core::errorOf(shareChart);
    set.share = core::takeValue(std::move(shareChart));
    auto fleet = decisions::makeFleetCharts(
        [&](std::string_view name) { return charts::loadChart(directory, name); });
    if (!core::isOk(fleet))
        return core::errorOf(fleet);
    set.fleet = core::takeValue(std::move(fleet));
    return set;
}

} // namespace boragerack::node
