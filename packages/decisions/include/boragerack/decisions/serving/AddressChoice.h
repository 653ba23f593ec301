#pragma once

#include <span>
#include <string>
#include <vector>

#include "boragerack/decisions/serving/CoordinationMessages.h"

namespace boragerack::decisions {

/// Addresses for a caller in a data centre. Nodes of its own data centre are enough if there are
/// two, so that the caller can go on when one of them fails; otherwise it gets all nodes.
std::vector<std::string> chooseAddresses(std::span<const FleetMember> members,
                                         const core::DataCentreId &dataCentre);

} // namespace boragerack::decisions
