#pragma once

#include <filesystem>
#include <memory>

#include "boragerack/core/Result.h"
#include "boragerack/decisions/AttemptChart.h"
#include "boragerack/decisions/ClaimChart.h"
#include "boragerack/decisions/ConnectionChart.h"
#include "boragerack/decisions/FleetCharts.h"
#include "boragerack/decisions/NodeChart.h"
#include "boragerack/decisions/ReplicaLifecycle.h"
#include "boragerack/decisions/ShareLifecycle.h"

namespace boragerack::node {

/// All state charts that a node interprets, bound to the enumerations in the code.
struct ChartSet
{
    std::shared_ptr<const decisions::AttemptBinding> attempt;
    std::shared_ptr<const decisions::ClaimBinding> claim;
    std::shared_ptr<const decisions::ConnectionBinding> connection;
    std::shared_ptr<const decisions::NodeBinding> node;
    decisions::PlacementCharts placement;
    decisions::FleetCharts fleet;
    std::shared_ptr<const decisions::ShareBinding> share;
};

/// Loads all charts. The error names the first chart that is missing or does not match the code.
core::Result<ChartSet> loadCharts(const std::filesystem::path &directory);

} // namespace boragerack::node
