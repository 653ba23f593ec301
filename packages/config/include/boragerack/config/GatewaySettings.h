#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

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

    /// A withdrawn key must not run longer than this after its withdrawal was accepted.
    std::chrono::milliseconds maxRevocationDelay = std::chrono::seconds(5);
    /// No two nodes may give one target orders within this time.
    std::chrono::milliseconds orderHandover = std::chrono::seconds(3);
    /// Time between the request to stop and the kill.
    std::chrono::milliseconds stopTimeout = std::chrono::seconds(8);
    /// How long callers keep the addresses they are given.
    std::chrono::milliseconds addressLifetime = std::chrono::seconds(1);
    double retryRatio = 0.2;
    std::int64_t retrySlack = 50;
    /// Time over which the retries of the fleet are bounded.
    std::chrono::milliseconds retryWindow = std::chrono::seconds(10);
    /// Tokens that an organisation may use beyond its limit before the limit counts as broken.
    std::int64_t quotaTolerance = 100000;
    /// Requests that this node passes on or holds for a target at a time; each needs two
    /// connections and about 20 kB. Above it organisations take turns.
    std::int64_t maxActiveRequests = 1024;
    /// Requests that wait for their turn, in all and of one organisation.
    std::int64_t maxWaitingRequests = 4096;
    std::int64_t maxWaitingPerOrganisation = 256;

    friend bool operator==(const GatewaySettings &, const GatewaySettings &) = default;
};

core::Result<GatewaySettings> parseGatewaySettings(std::string_view file, std::string_view text);

} // namespace boragerack::config
