#pragma once

#include <filesystem>
#include <memory>

#include "boragerack/core/Result.h"
#include "boragerack/decisions/AttemptChart.h"
#include "boragerack/decisions/ConnectionChart.h"
#include "boragerack/decisions/FreshnessMonitor.h"
#include "boragerack/decisions/NodeChart.h"
#include "boragerack/decisions/serving/CoordinatorChart.h"
#include "boragerack/decisions/serving/TargetOrderChart.h"
#include "boragerack/peer/PeerCharts.h"

namespace boragerack::gateway {

/// All state charts that a gateway interprets.
struct GatewayCharts
{
    std::shared_ptr<const decisions::AttemptBinding> attempt;
    std::shared_ptr<const decisions::ConnectionBinding> connection;
    std::shared_ptr<const decisions::NodeBinding> node;
    std::shared_ptr<const decisions::FreshnessMonitor::Binding> freshness;
    std::shared_ptr<const decisions::CoordinatorBinding> coordinator;
    std::shared_ptr<const decisions::TargetOrderBinding> targetOrder;
    std::shared_ptr<const peer::PeerCharts> peer;
};

/// Fails with the name of the first chart that is missing or does not match the code.
core::Result<GatewayCharts> loadGatewayCharts(const std::filesystem::path &directory);

} // namespace boragerack::gateway
