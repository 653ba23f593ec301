#pragma once

#include <cstdint>

#include "boragerack/core/Identifier.h"

namespace boragerack::node {

/// Identity of this process. The incarnation increases with each start of the same instance.
struct NodeIdentity
{
    core::InstanceId instance;
    std::uint64_t incarnation = 0;
    core::DataCentreId dataCentre;
    core::RegionId region;

    friend auto operator<=>(const NodeIdentity &, const NodeIdentity &) = default;
};

} // namespace boragerack::node
