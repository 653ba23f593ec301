#pragma once

#include <cstdint>
#include <set>

#include "ActiveConfiguration.h"
#include "TargetTable.h"
#include "boragerack/runtime/Metrics.h"

namespace boragerack::node {

/// Logs when data centres are evacuated and when they return, and sets the metric.
class EvacuationMonitor
{
public:
    explicit EvacuationMonitor(runtime::Metrics &metrics);

    /// The configuration has come into effect on this node.
    void onConfiguration(const ActiveConfiguration &configuration, const TargetTable &table);

private:
    runtime::Metrics &metrics_;
    std::set<core::DataCentreId> evacuated_;
};

} // namespace boragerack::node
