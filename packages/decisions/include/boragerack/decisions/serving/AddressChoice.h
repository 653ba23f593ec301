#pragma once

#include <span>
#include <string>
#include <vector>

#include "boragerack/decisions/serving/CoordinationMessages.h"

namespace boragerack::decisions {

/// Returns the node addresses for a caller in a data centre. Only local nodes are returned if there
/// are at least two, so that the caller can fail over; otherwise all nodes, local ones first.
std::vector<std::string> chooseAddresses(std::span<const FleetMember> members,
                                         const core::DataCentreId &dataCentre);

} // namespace boragerack::decisions
