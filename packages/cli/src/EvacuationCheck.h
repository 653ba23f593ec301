#pragma once

#include <string>
#include <vector>

#include "ListFiles.h"
#include "boragerack/platform/PlatformTypes.h"

namespace boragerack::cli {

/// Returns a warning for each evacuation of a data centre without targets in the instance list. The
/// files must have passed the check of the lists.
std::vector<std::string>
findEvacuationWarnings(const ListFiles &files,
                       const std::vector<platform::InstanceRecord> &instances);

} // namespace boragerack::cli
