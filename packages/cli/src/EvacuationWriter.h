#pragma once

#include <string>

#include "boragerack/cli/Command.h"
#include "boragerack/cli/ExitCode.h"
#include "boragerack/platform/PlatformStore.h"

namespace boragerack::cli {

/// Request of an operator to evacuate a data centre, or to end its evacuation.
struct EvacuationRequest
{
    std::string dataCentre;
    bool isEnd = false;

    friend auto operator<=>(const EvacuationRequest &, const EvacuationRequest &) = default;
};

/// Changes the entitlements list by conditional updates and prints the result. After a conflict
/// with another writer the edit is made again on the changed list.
ExitCode writeEvacuation(platform::PlatformStore &store, const EvacuationRequest &request,
                         const Streams &streams);

} // namespace boragerack::cli
