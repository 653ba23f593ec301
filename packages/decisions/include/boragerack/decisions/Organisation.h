#pragma once

#include <string>
#include <vector>

#include "boragerack/core/Digest.h"
#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

/// A caller's key, of which only the SHA-256 digest is stored.
struct CallerKey
{
    std::string name;
    core::Digest sha256;

    friend auto operator<=>(const CallerKey &, const CallerKey &) = default;
};

/// A tenant with its plan and its keys.
struct Organisation
{
    core::OrganisationId organisation;
    std::string plan;
    std::vector<CallerKey> keys;

    friend auto operator<=>(const Organisation &, const Organisation &) = default;
};

} // namespace boragerack::decisions
