#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "EditPlan.h"

namespace boragerack::cli {

/// Part to which `boragerack evacuate` adds entries. A part of its own keeps `apply`, which
/// replaces whole parts from files, from ending an evacuation that is not in the file.
inline constexpr std::string_view kEvacuationsPart = "entitlements/evacuations";

/// Names of the parts that evacuate the data centre.
std::set<std::string> findEvacuatingParts(const StoredParts &stored, std::string_view dataCentre);

/// New texts of the parts, by part name, after which the data centre is evacuated, or not evacuated
/// any more. All other members of the parts keep their values. Empty if nothing has to change.
std::map<std::string, std::string> addEvacuation(const StoredParts &stored,
                                                 std::string_view dataCentre);
std::map<std::string, std::string> removeEvacuation(const StoredParts &stored,
                                                    std::string_view dataCentre);

} // namespace boragerack::cli
