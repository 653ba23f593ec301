#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "boragerack/decisions/ConfigurationHead.h"

namespace boragerack::decisions {

/// An accepted version with the texts of all parts, keyed by part name.
struct AcceptedConfiguration
{
    ConfigurationHead head;
    std::map<std::string, std::string> texts;

    friend auto operator<=>(const AcceptedConfiguration &, const AcceptedConfiguration &) = default;
};

struct PartText
{
    std::string name;
    std::string text;

    friend auto operator<=>(const PartText &, const PartText &) = default;
};

/// The difference between two accepted versions. With base version 0 it has all parts.
struct ConfigurationDelta
{
    std::uint64_t baseVersion = 0;
    /// The new head with an empty list of parts.
    ConfigurationHead head;
    std::vector<PartText> changed;
    std::vector<std::string> removed;
    /// Digest of the complete new head; verifies that the delta was applied to the right base.
    core::Digest headDigest;

    friend auto operator<=>(const ConfigurationDelta &, const ConfigurationDelta &) = default;
};

/// Returns the digest over every field of the head.
core::Digest digestOf(const ConfigurationHead &head);

/// Returns the digests of the texts, sorted by part name.
std::vector<PartDigest> makeHeadParts(const std::map<std::string, std::string> &texts);

/// Returns the delta from `base` to `target`, or all parts of `target` if there is no base.
ConfigurationDelta makeDelta(const std::optional<ConfigurationHead> &base,
                             const AcceptedConfiguration &target);

/// Applies `update` to `base`. Returns nothing if the result does not match the head digest.
std::optional<AcceptedConfiguration> applyDelta(const AcceptedConfiguration &base,
                                                const ConfigurationDelta &update);

} // namespace boragerack::decisions
