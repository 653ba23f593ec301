#pragma once

#include <string>
#include <string_view>

#include "boragerack/core/Result.h"
#include "boragerack/decisions/review/ConfigurationPlace.h"
#include "boragerack/decisions/serving/ServingConfiguration.h"

namespace boragerack::config {

/// Reads the text of a serving configuration in the format of one platform, for review by an
/// operator. Stricter than a node, which uses defaults for members that it cannot read.
class ConfigurationReader
{
public:
    ConfigurationReader() = default;
    ConfigurationReader(const ConfigurationReader &) = delete;
    ConfigurationReader &operator=(const ConfigurationReader &) = delete;
    virtual ~ConfigurationReader() = default;

    /// The error message begins with the position: line and column, or the path of a member.
    virtual core::Result<decisions::ServingConfiguration> read(std::string_view text) const = 0;

    /// Path of the place in the text, such as "routes[3].host".
    virtual std::string describePlace(const decisions::ConfigurationPlace &place) const = 0;
};

} // namespace boragerack::config
