#include "boragerack/gateway/GatewayCharts.h"

#include "boragerack/charts/ChartLoader.h"

namespace boragerack::gateway {

core::Result<GatewayCharts> loadGatewayCharts(const std::filesystem::path &directory)
{
    charts::ChartLoader loader(directory);
    GatewayCharts result;
    result.attempt = loader.load<decisions::AttemptBinding>("attempt", decisions::bindAttemptChart);
    result.connection =
        loader.load<decisions::ConnectionBinding>("connection", decisions::bindConnectionChart);
    result.node = loader.load<decisions::NodeBinding>("node", decisions::bindNodeChart);
    result.coordinator =
        loader.load<decisions::CoordinatorBinding>("coordinator", decisions::bindCoordinatorChart);
    result.targetOrder =
        loader.load<decisions::TargetOrderBinding>("targetOrder", decisions::bindTargetOrderChart);
    const auto freshness = loader.load("freshness");
    if (loader.error())
        return *loader.error();
    auto freshnessBinding = decisions::FreshnessMonitor::bind(*freshness);
    if (!core::isOk(freshnessBinding))
        return core::errorOf(freshnessBinding);
    result.freshness = core::takeValue(std::move(freshnessBinding));
    auto peerCharts = peer::loadPeerCharts(directory);
    if (!core::isOk(peerCharts))
        return core::errorOf(peerCharts);
    result.peer = core::takeValue(std::move(peerCharts));
    return result;
}

} // namespace boragerack::gateway
