#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "boragerack/decisions/ShareTable.h"

namespace boragerack::node {

/// JSON of the platform object `budget/shares`: one row [shard, index, instance, incarnation] per
/// share, which keeps 512 shares well below the size limit of a value.
std::string serialiseShareOwners(const decisions::ShareOwners &owners);

/// Returns nullopt if any part is invalid, because a skipped share would appear unowned and could
/// be claimed twice.
std::optional<decisions::ShareOwners> parseShareOwners(std::string_view text);

} // namespace boragerack::node
