#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "boragerack/config/NodeSettings.h"
#include "boragerack/core/Identifier.h"
#include "boragerack/core/Result.h"

namespace boragerack::config {

/// Settings of one gateway process.
struct GatewaySettings
{
    core::InstanceId instance;
    core::DataCentreId dataCentre;
    SocketAddress callerListen;
    SocketAddress readyListen;
    SocketAddress directoryListen;
    SocketAddress peerListen;
    SocketAddress metricsListen;
    SocketAddress platform;
    std::string chartsDirectory;

    /// Maximum time for which a revoked key remains usable after its revocation was accepted.
    std::chrono::milliseconds maxRevocationDelay = std::chrono::seconds(5);
    /// Maximum time after the request for the evacuation of a data centre in which requests may
    /// still be sent there; zero if evacuations are not used.
    std::chrono::milliseconds maxEvacuationDelay = {};
    /// Minimum time between orders from two different nodes to the same target.
    std::chrono::milliseconds orderHandover = std::chrono::seconds(3);
    /// Time between the stop request and forced termination of the process.
    std::chrono::milliseconds stopTimeout = std::chrono::seconds(8);
    /// Time for which callers cache the addresses returned to them.
    std::chrono::milliseconds addressLifetime = std::chrono::seconds(1);
    double retryRatio = 0.2;
    /// Retries of the fleet in a window besides its share of the requests.
    double retrySlack = 50;
    /// Time window to which the fleet-wide limit on retries applies.
    std::chrono::milliseconds retryWindow = std::chrono::seconds(10);
    /// Tokens that an organisation may use beyond its limit before the limit counts as violated.
    std::int64_t quotaTolerance = 100000;
    /// Share of a processor core that this node has.
    double processorShare = 1;
    /// Memory that the process may use.
    std::int64_t memoryMb = 1024;
    /// Maximum number of requests that this node forwards, or holds for a target, at the same time;
    /// each needs two connections and about 20 kB of memory. Requests over this limit wait and are
    /// admitted in turn by organisation.
    std::int64_t maxActiveRequests = 1024;
    /// Maximum number of waiting requests, in total and per organisation.
    std::int64_t maxWaitingRequests = 4096;
    std::int64_t maxWaitingPerOrganisation = 256;

    friend bool operator==(const GatewaySettings &, const GatewaySettings &) = default;
};

/// Settings from a file with invalid members.
struct RecoveredGatewaySettings
{
    GatewaySettings settings;
    /// One message for each member that was ignored; its default is in effect.
    std::vector<std::string> ignored;

    friend bool operator==(const RecoveredGatewaySettings &,
                           const RecoveredGatewaySettings &) = default;
};

/// Parses the text of a settings file. Fails with InvalidRequest if a member is missing, invalid or
/// unknown.
core::Result<GatewaySettings> parseGatewaySettings(std::string_view file, std::string_view text);

/// Like `parseGatewaySettings`, but ignores invalid members that have a default, and unknown ones.
/// A process that starts has no earlier settings to keep.
core::Result<RecoveredGatewaySettings> recoverGatewaySettings(std::string_view file,
                                                              std::string_view text);

} // namespace boragerack::config
