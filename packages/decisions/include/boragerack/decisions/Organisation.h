#pragma once

#include <string>
#include <vector>

#include "boragerack/core/Digest.h"
#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

/// A caller's key, known by its digest only.
struct CallerKey
{
    std::string name;
    core::Digest sha256;

    friend auto operator<=>(const CallerKey &, const CallerKey &) = default;
};

/// A tenant, its plan and the keys that act for it.
struct Organisation
{
    core::OrganisationId organisation;
    std::string plan;
    std::vector<CallerKey> keys;

    friend auto operator<=>(const Organisation &, const Organisation &) = default;
};

} // namespace boragerack::decisions
