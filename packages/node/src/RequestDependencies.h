#pragma once

#include "ActiveConfiguration.h"
#include "BudgetTask.h"
#include "ChartSet.h"
#include "LifecycleTask.h"
#include "NodeIdentity.h"
#include "QuarantineTask.h"
#include "RoutingTask.h"
#include "boragerack/runtime/Metrics.h"

namespace boragerack::node {

/// Tasks and services used to handle a request.
struct RequestDependencies
{
    const NodeIdentity &identity;
    const ChartSet &charts;
    const runtime::Published<ActiveConfiguration> &configuration;
    LifecycleTask &lifecycle;
    QuarantineTask &quarantine;
    BudgetTask &budget;
    RoutingTask &routing;
    platform::PlatformStore &store;
    runtime::HttpClient &client;
    core::RandomSource &random;
    const core::Clock &clock;
    runtime::Metrics &metrics;
};

} // namespace boragerack::node
