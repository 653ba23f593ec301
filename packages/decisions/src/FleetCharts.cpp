#include "boragerack/decisions/FleetCharts.h"

#include <optional>

namespace boragerack::decisions {

core::Result<FleetCharts>
makeFleetCharts(const std::function<core::Result<charts::StateChart>(std::string_view)> &load)
{
    std::optional<core::Error> error;
    const auto bindOne = [&](std::string_view name, const auto &bind, auto &target) {
        const auto chart = load(name);
        if (!core::isOk(chart)) {
            error = core::errorOf(chart);
            return;
        }
        auto binding = bind(core::valueOf(chart));
        if (core::isOk(binding))
            target = core::valueOf(binding);
        else
            error = core::errorOf(binding);
    };
    FleetCharts charts;
    bindOne("configuration", ConfigurationSync::bind, charts.configuration);
    bindOne("acceptance", ConfigurationRelay::bind, charts.acceptance);
    bindOne("freshness", FreshnessMonitor::bind, charts.freshness);
    bindOne("member", MemberView::bind, charts.member);
    bindOne("watch", PrefixWatch::bind, charts.watch);
    if (error)
        return *error;
    return charts;
}

} // namespace boragerack::decisions
