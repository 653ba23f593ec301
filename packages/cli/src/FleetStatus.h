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
struct MemberLine
{
    std::string instance;
    std::string dataCentre;
    std::string callerAddress;
    std::string peerAddress;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const MemberLine &, const MemberLine &) = default;
};

/// One target from the instance list and its object under `targets/`.
struct TargetLine
{
    std::string target;
    std::string kind;
    std::string state;
    std::uint64_t memoryMiB = 0;
    std::uint64_t reservedMiB = 0;
    std::uint64_t intents = 0;

    friend auto operator<=>(const TargetLine &, const TargetLine &) = default;
};

/// What the platform says about the fleet.
struct FleetStatus
{
    std::optional<decisions::ConfigurationHead> accepted;
    std::optional<decisions::ConfigurationStatus> configuration;
    std::vector<MemberLine> members;
    std::vector<TargetLine> targets;
    /// Objects whose text is not understood, as "<key>: <reason>".
    std::vector<std::string> unreadable;

    friend auto operator<=>(const FleetStatus &, const FleetStatus &) = default;
};

core::Result<FleetStatus> readFleetStatus(platform::PlatformStore &store);

/// Whether lists are accepted, none is rejected and every object was understood.
bool isHealthy(const FleetStatus &status);

std::string formatStatus(const FleetStatus &status);

} // namespace boragerack::cli
