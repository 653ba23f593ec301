#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace boragerack::decisions {

/// A list part that was not accepted and why.
struct RejectedPart
{
    std::string name;
    /// Platform version of the edit that was refused.
    std::uint64_t version = 0;
    std::string reason;

    friend auto operator<=>(const RejectedPart &, const RejectedPart &) = default;
};

/// The object `status/config`.
struct ConfigurationStatus
{
    std::uint64_t acceptedVersion = 0;
    std::uint64_t listRevision = 0;
    std::vector<RejectedPart> rejected;

    friend auto operator<=>(const ConfigurationStatus &, const ConfigurationStatus &) = default;
};

} // namespace boragerack::decisions
