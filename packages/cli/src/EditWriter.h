#pragma once

#include <vector>

#include "EditPlan.h"
#include "boragerack/cli/Command.h"
#include "boragerack/cli/ExitCode.h"
#include "boragerack/platform/PlatformStore.h"

namespace boragerack::cli {

/// Writes the edits one by one, tells each result and stops at the first that does not apply.
ExitCode writeEdits(platform::PlatformStore &store, const std::vector<PartEdit> &edits,
                    const Streams &streams);

/// Prints what the edits change.
void showEdits(const std::vector<PartEdit> &edits, const Streams &streams);

} // namespace boragerack::cli
