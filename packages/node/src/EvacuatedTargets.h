#pragma once

#include <map>

#include "ActiveConfiguration.h"
#include "TargetTable.h"

namespace boragerack::node {

/// Whether the target gets no new work because its data centre is evacuated. Before the first
/// configuration is in effect, evacuations are unknown and every target counts as evacuated.
bool isEvacuated(const ActiveConfiguration &configuration, const TargetTable &table,
                 const core::TargetId &target);

/// The evacuated data centres of the configuration, each with the number of its targets.
std::map<core::DataCentreId, std::size_t>
countEvacuatedTargets(const ActiveConfiguration &configuration, const TargetTable &table);

} // namespace boragerack::node
