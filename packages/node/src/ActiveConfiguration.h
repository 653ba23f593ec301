#pragma once

#include <cstdint>

#include "boragerack/decisions/Catalogue.h"

namespace boragerack::node {

/// The configuration lists in effect on this node and their version.
struct ActiveConfiguration
{
    std::uint64_t version = 0;
    decisions::Catalogue catalogue;

    friend bool operator==(const ActiveConfiguration &, const ActiveConfiguration &) = default;
};

} // namespace boragerack::node
