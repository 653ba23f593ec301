#pragma once

#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

/// Operators request that the targets of a data centre get no new work. The request lasts until its
/// entry is removed from the entitlements list.
struct Evacuation
{
    core::DataCentreId dataCentre;

    friend auto operator<=>(const Evacuation &, const Evacuation &) = default;
};

} // namespace boragerack::decisions
