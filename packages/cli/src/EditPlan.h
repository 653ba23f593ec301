#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "boragerack/config/ListCheck.h"

namespace boragerack::cli {

/// A part as the platform holds it.
struct StoredPart
{
    std::uint64_t version = 0;
    std::string text;

    friend auto operator<=>(const StoredPart &, const StoredPart &) = default;
};

/// Held parts by name without "lists/".
using StoredParts = std::map<std::string, StoredPart>;

/// One conditional update: `base` is the part the edit replaces; nothing for a new part.
struct PartEdit
{
    std::string part;
    std::string text;
    std::optional<StoredPart> base;

    friend auto operator<=>(const PartEdit &, const PartEdit &) = default;
};

/// The edits that bring the held parts to the wanted texts, or why the result would be rejected.
/// Parts that already hold the wanted value are left out. Each part is written on its own, so the
/// edits are ordered such that the lists are valid after each one where such an order exists;
/// otherwise nodes keep the last accepted lists until the final edit.
std::variant<std::vector<PartEdit>, config::ListError>
planEdits(const StoredParts &held, const std::map<std::string, std::string> &wanted);

} // namespace boragerack::cli
