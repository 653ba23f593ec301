#pragma once

#include <vector>

#include "EditPlan.h"
#include "boragerack/cli/Command.h"
#include "boragerack/cli/ExitCode.h"
#include "boragerack/platform/PlatformStore.h"

namespace boragerack::cli {

/// Writes the edits in order, prints each result and stops at the first failure.
ExitCode writeEdits(platform::PlatformStore &store, const std::vector<PartEdit> &edits,
                    const Streams &streams);

/// Prints the changes of the edits without writing them.
void showEdits(const std::vector<PartEdit> &edits, const Streams &streams);

} // namespace boragerack::cli
