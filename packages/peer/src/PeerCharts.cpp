#include "boragerack/peer/PeerCharts.h"

#include "PeerChartBindings.h"

namespace boragerack::peer {

core::Result<std::shared_ptr<const PeerCharts>>
loadPeerCharts(const std::filesystem::path &chartsDirectory)
{
    const auto link = loadLinkBinding(chartsDirectory);
    if (!core::isOk(link))
        return core::errorOf(link);
    const auto connection = loadConnectionBinding(chartsDirectory);
    if (!core::isOk(connection))
        return core::errorOf(connection);
    return std::make_shared<const PeerCharts>(
        PeerCharts {core::valueOf(link), core::valueOf(connection)});
}

} // namespace boragerack::peer
