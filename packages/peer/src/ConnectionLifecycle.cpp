#include "ConnectionLifecycle.h"

#include <utility>

#include "boragerack/charts/ChartParser.h"

namespace boragerack::peer {

namespace {

constexpr charts::EnumNames<ConnectionState, 3> kStateNames {{"open", "draining", "closed"}};
constexpr charts::EnumNames<PeerConnectionChartEvent, 5> kEventNames {
    {"unused", "stop", "lost", "drained", "drainTimeout"}};
constexpr charts::EnumNames<PeerConnectionChartAction, 2> kActionNames {
    {"sendGoAway", "closeConnection"}};

} // namespace

core::Result<std::shared_ptr<const ConnectionBinding>>
loadConnectionBinding(const std::filesystem::path &chartsDirectory)
{
    const auto chart = charts::loadChart(chartsDirectory, "peerConnection");
    if (!core::isOk(chart))
        return core::errorOf(chart);
    auto binding =
        ConnectionBinding::make(core::valueOf(chart), kStateNames, kEventNames, kActionNames);
    if (!core::isOk(binding))
        return core::errorOf(binding);
    return std::make_shared<const ConnectionBinding>(core::takeValue(std::move(binding)));
}

} // namespace boragerack::peer
