#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "boragerack/config/ListCheck.h"

namespace boragerack::cli {

/// A list part as stored on the platform.
struct StoredPart
{
    std::uint64_t version = 0;
    std::string text;

    friend auto operator<=>(const StoredPart &, const StoredPart &) = default;
};

/// Stored parts, keyed by name without the prefix "lists/".
using StoredParts = std::map<std::string, StoredPart>;

/// One conditional update. `base` is the part that the edit replaces, empty for a new part.
struct PartEdit
{
    std::string part;
    std::string text;
    std::optional<StoredPart> base;

    friend auto operator<=>(const PartEdit &, const PartEdit &) = default;
};

/// Returns the edits that change the stored parts to the wanted texts, or the reason why the result
/// would be rejected. Unchanged parts are omitted. Parts are written one at a time, so the edits
/// are ordered to keep the lists valid after each write if such an order is found; otherwise nodes
/// keep the last accepted lists until the final write.
std::variant<std::vector<PartEdit>, config::ListError>
planEdits(const StoredParts &stored, const std::map<std::string, std::string> &wanted);

} // namespace boragerack::cli
