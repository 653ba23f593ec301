#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "boragerack/decisions/ConfigurationRelay.h"
#include "boragerack/decisions/ConfigurationSync.h"
#include "boragerack/decisions/FreshnessMonitor.h"
#include "boragerack/decisions/MemberView.h"
#include "boragerack/decisions/PrefixWatch.h"

namespace boragerack::decisions {

/// Chart bindings of a FleetAgent; shared by all agents of a process.
struct FleetCharts
{
    std::shared_ptr<const ConfigurationSync::Binding> configuration;
    std::shared_ptr<const ConfigurationRelay::Binding> acceptance;
    std::shared_ptr<const FreshnessMonitor::Binding> freshness;
    std::shared_ptr<const MemberView::Binding> member;
    std::shared_ptr<const PrefixWatch::Binding> watch;
};

/// Loads each chart by name and binds it. Returns the error of the last chart that failed.
core::Result<FleetCharts>
makeFleetCharts(const std::function<core::Result<charts::StateChart>(std::string_view)> &load);

} // namespace boragerack::decisions
