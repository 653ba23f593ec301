#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "boragerack/core/Result.h"
#include "boragerack/decisions/serving/ServingConfiguration.h"
#include "boragerack/decisions/serving/TargetDirectory.h"

namespace boragerack::gateway {

/// The configuration at a version of the platform's store; empty if none has been written.
struct ConfigurationRead
{
    /// Number of a core::StoreVersion.
    std::uint64_t revision = 0;
    std::optional<decisions::ServingConfiguration> configuration;
    /// The text stored in the platform, for nodes that cannot read the platform themselves.
    std::string text;
    /// The platform does not have the changes since the requested revision, or was restored since.
    bool isExpired = false;

    friend bool operator==(const ConfigurationRead &, const ConfigurationRead &) = default;
};

/// Changes to the list of targets up to a revision.
struct TargetsRead
{
    std::uint64_t revision = 0;
    std::vector<decisions::targets::Event> events;
    bool isExpired = false;

    friend bool operator==(const TargetsRead &, const TargetsRead &) = default;
};

enum class ReadMode {
    Current, ///< Proves that the result was current when the call was sent.
    MayBeStale, ///< Cheaper; the result may be seconds old.
};

/// Reads the configuration and the targets from the platform. Calls suspend the calling fiber.
class ServingSource
{
public:
    ServingSource() = default;
    ServingSource(const ServingSource &) = delete;
    ServingSource &operator=(const ServingSource &) = delete;
    virtual ~ServingSource() = default;

    virtual core::Result<ConfigurationRead> readConfiguration(ReadMode mode) = 0;
    /// Waits for a change after the revision. If there is none in time, the result has no
    /// configuration.
    virtual core::Result<ConfigurationRead> watchConfiguration(std::uint64_t afterRevision,
                                                               std::chrono::milliseconds wait) = 0;

    /// Parses the text of a configuration that was received from another node.
    virtual core::Result<decisions::ServingConfiguration>
    parseConfiguration(std::string_view text) const = 0;

    /// Data centres whose evacuation is in force.
    virtual core::Result<std::set<core::DataCentreId>> listEvacuations() = 0;

    virtual core::Result<TargetsRead> listTargets() = 0;
    virtual core::Result<TargetsRead> watchTargets(std::uint64_t afterRevision,
                                                   std::chrono::milliseconds wait) = 0;
};

} // namespace boragerack::gateway
