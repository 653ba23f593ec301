#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "boragerack/decisions/ConfigurationHead.h"
#include "boragerack/decisions/ConfigurationStatus.h"
#include "boragerack/platform/PlatformStore.h"

namespace boragerack::cli {

/// One object under `nodes/`.
struct MemberStatus
{
    std::string instance;
    std::string dataCentre;
    std::string callerAddress;
    std::string peerAddress;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const MemberStatus &, const MemberStatus &) = default;
};

/// One target from the instance list and its object under `targets/`.
struct TargetStatus
{
    std::string target;
    std::string kind;
    std::string state;
    std::uint64_t memoryMiB = 0;
    std::uint64_t reservedMiB = 0;
    std::uint64_t reservations = 0;

    friend auto operator<=>(const TargetStatus &, const TargetStatus &) = default;
};

/// A data centre that the accepted lists evacuate.
struct EvacuationStatus
{
    std::string dataCentre;
    std::uint64_t targets = 0; ///< Its targets in the instance list.

    friend auto operator<=>(const EvacuationStatus &, const EvacuationStatus &) = default;
};

/// State of the fleet as stored on the platform.
struct FleetStatus
{
    std::optional<decisions::ConfigurationHead> accepted;
    std::optional<decisions::ConfigurationStatus> configuration;
    std::vector<MemberStatus> members;
    std::vector<TargetStatus> targets;
    std::vector<EvacuationStatus> evacuations = {};
    /// Objects that could not be parsed, as "<key>: <reason>".
    std::vector<std::string> unreadable;

    friend auto operator<=>(const FleetStatus &, const FleetStatus &) = default;
};

core::Result<FleetStatus> readFleetStatus(platform::PlatformStore &store);

/// Whether lists are accepted, no part is rejected and every object could be parsed.
bool isHealthy(const FleetStatus &status);

std::string formatStatus(const FleetStatus &status);

} // namespace boragerack::cli
