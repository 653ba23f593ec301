#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace boragerack::decisions {

/// An edit of a list part that was rejected, and the reason.
struct RejectedPart
{
    std::string name;
    /// Platform version of the rejected edit.
    std::uint64_t version = 0;
    std::string reason;

    friend auto operator<=>(const RejectedPart &, const RejectedPart &) = default;
};

/// The platform object `status/config`.
struct ConfigurationStatus
{
    std::uint64_t acceptedVersion = 0;
    std::uint64_t listRevision = 0;
    std::vector<RejectedPart> rejected;

    friend auto operator<=>(const ConfigurationStatus &, const ConfigurationStatus &) = default;
};

} // namespace boragerack::decisions
