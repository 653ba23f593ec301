#include "boragerack/gateway/GatewayCharts.h"

#include "boragerack/charts/ChartLoader.h"

namespace boragerack::gateway {

core::Result<GatewayCharts> loadGatewayCharts(const std::filesystem::path &directory)
{
    charts::ChartLoader loader(directory);
    GatewayCharts set;
    set.attempt = loader.load<decisions::AttemptBinding>("attempt", decisions::bindAttemptChart);
    set.node = loader.load<decisions::NodeBinding>("node", decisions::bindNodeChart);
    set.coordinator =
        loader.load<decisions::CoordinatorBinding>("coordinator", decisions::bindCoordinatorChart);
    set.targetOrder =
        loader.load<decisions::TargetOrderBinding>("targetOrder", decisions::bindTargetOrderChart);
    const auto freshness = loader.load("freshness");
    if (loader.error())
        return *loader.error();
    auto freshnessBinding = decisions::FreshnessMonitor::bind(*freshness);
    if (!core::isOk(freshnessBinding))
        return core::errorOf(freshnessBinding);
    set.freshness = core::takeValue(std::move(freshnessBinding));
    auto peerCharts = peer::loadPeerCharts(directory);
    if (!core::isOk(peerCharts))
        return core::errorOf(peerCharts);
    set.peer = core::takeValue(std::move(peerCharts));
    return set;
}

} // namespace boragerack::gateway
