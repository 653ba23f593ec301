#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "boragerack/core/Digest.h"
#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

/// One part of the accepted lists: its name ("plans/main") and the digest of its text.
struct PartDigest
{
    std::string name;
    core::Digest digest;

    friend auto operator<=>(const PartDigest &, const PartDigest &) = default;
};

/// The platform object `config/accepted`. Parts are sorted by name.
struct ConfigurationHead
{
    std::uint64_t version = 0;
    /// Platform revision of the lists that this version reflects. A relay whose view of the lists
    /// is older must not replace the head, because that would revert an accepted edit.
    std::uint64_t listRevision = 0;
    /// `writer`, `writerIncarnation` and `sequence` identify the write, so that a writer that did
    /// not receive the response can recognise its own update.
    core::InstanceId writer;
    std::uint64_t writerIncarnation = 0;
    std::uint64_t sequence = 0;
    std::vector<PartDigest> parts;

    friend auto operator<=>(const ConfigurationHead &, const ConfigurationHead &) = default;
};

} // namespace boragerack::decisions
