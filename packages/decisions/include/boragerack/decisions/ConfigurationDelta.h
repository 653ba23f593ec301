#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "boragerack/decisions/ConfigurationHead.h"

namespace boragerack::decisions {

/// An accepted version with the text of every part, by name.
struct AcceptedConfiguration
{
    ConfigurationHead head;
    std::map<std::string, std::string> texts;

    friend auto operator<=>(const AcceptedConfiguration &, const AcceptedConfiguration &) = default;
};

/// A part with its text.
struct PartText
{
    std::string name;
    std::string text;

    friend auto operator<=>(const PartText &, const PartText &) = default;
};

/// The difference between two accepted versions; a base of 0 makes it complete.
struct ConfigurationDelta
{
    std::uint64_t baseVersion = 0;
    /// The new head without its parts.
    ConfigurationHead head;
    std::vector<PartText> changed;
    std::vector<std::string> removed;
    /// Digest of the complete new head, which proves that base and difference fit together.
    core::Digest headDigest;

    friend auto operator<=>(const ConfigurationDelta &, const ConfigurationDelta &) = default;
};

/// Digest over every field of the head.
core::Digest digestOf(const ConfigurationHead &head);

/// The head parts for the texts, sorted by name.
std::vector<PartDigest> makeHeadParts(const std::map<std::string, std::string> &texts);

/// What a holder of `base` lacks of `target`; everything if there is no base.
ConfigurationDelta makeDelta(const std::optional<ConfigurationHead> &base,
                             const AcceptedConfiguration &target);

/// The configuration after the update; nothing if the base does not fit.
std::optional<AcceptedConfiguration> applyDelta(const AcceptedConfiguration &base,
                                                const ConfigurationDelta &update);

} // namespace boragerack::decisions
